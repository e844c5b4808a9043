#pragma once

#include <iosfwd>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace fescueledge {

/// Prints an array of objects as a table. @p columns come first, then the other members sorted by name.
void printTable(std::ostream &out, const nlohmann::json &rows, const std::vector<std::string> &columns);

/// Prints an object as readable text: plain members one per line, nested objects indented, arrays of objects as tables.
void printObject(std::ostream &out, const nlohmann::json &object, const std::string &indent = std::string());

} // namespace fescueledge
