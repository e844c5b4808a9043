#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace fescueledge {

/// One thing that is wrong in a settings or table file.
struct Finding
{
    std::string file; ///< Name of the file as the reader was told.
    int line = 0; ///< Line in the file, from 1; 0 if the finding is about no single line.
    std::string section; ///< Name of the section as written, without brackets; may be empty.
    std::string key; ///< Name of the key; may be empty.
    std::string problem; ///< What is wrong.
    std::string remedy; ///< What would be right.

    /// The problem and the remedy in one line.
    std::string message() const;
    /// `file:line: [section] key: problem; remedy`.
    std::string toString() const;
};

using Findings = std::vector<Finding>;

/// Puts findings about one file into the order of its lines.
void sortByLine(Findings &findings);

/// Members file, line, section, key and message.
void to_json(nlohmann::json &json, const Finding &finding);

} // namespace fescueledge
