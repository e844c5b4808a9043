#pragma once

#include <iosfwd>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace fescueledge {

/// Prints an array of objects as a table. @p columns come first, other members after them in order of name.
void printTable(std::ostream &out, const nlohmann::json &rows, const std::vector<std::string> &columns);

/// Prints an object for people: its plain members one a line, its arrays of objects as tables.
void printObject(std::ostream &out, const nlohmann::json &object, const std::string &indent = std::string());

} // namespace fescueledge
