#pragma once

#include <string>
#include <vector>

namespace fescueledge {

/// The name in @p known that needs the fewest single-character edits from @p name; empty if none is near.
std::string nearestName(const std::string &name, const std::vector<std::string> &known);

/// `did you mean X?` if a name is near, else the list of all names in @p known.
std::string suggestName(const std::string &name, const std::vector<std::string> &known);

} // namespace fescueledge
