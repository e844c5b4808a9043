#pragma once

#include <string>
#include <vector>

namespace fescueledge {

/// The name in @p known with the smallest edit distance to @p name. Empty if none is close.
std::string nearestName(const std::string &name, const std::vector<std::string> &known);

/// `did you mean X?` if a name is close, otherwise the list of all names in @p known.
std::string suggestName(const std::string &name, const std::vector<std::string> &known);

} // namespace fescueledge
