#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace fescueledge {

/// One problem in a settings or table file.
struct Finding
{
    std::string file; ///< Name of the file as given to the parser.
    int line = 0; ///< Line in the file, from 1; 0 if the problem is not on a single line.
    std::string section; ///< Name of the section as written, without brackets; may be empty.
    std::string key; ///< Name of the key; may be empty.
    std::string problem; ///< What is wrong.
    std::string remedy; ///< How to fix it.

    /// The problem and the remedy in one line.
    std::string message() const;
    /// `file:line: [section] key: problem; remedy`.
    std::string toString() const;
};

using Findings = std::vector<Finding>;

/// Sorts the findings of one file by line.
void sortByLine(Findings &findings);

/// Writes the members `file`, `line`, `section`, `key` and `message`.
void to_json(nlohmann::json &json, const Finding &finding);

} // namespace fescueledge
