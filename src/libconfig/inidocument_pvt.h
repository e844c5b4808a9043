#pragma once

#include "fescueledge/finding.h"

#include <string>
#include <vector>

namespace fescueledge {

/// One `key = value` line.
struct IniEntry
{
    std::string key;
    std::string value;
    int line = 0;
};

/// One section with its entries in the order of the file.
struct IniSection
{
    std::string name; ///< What stands between the brackets.
    int line = 0;
    std::vector<IniEntry> entries;
};

/// Splits @p text into sections. What inih can't read is added to @p findings; the rest is returned.
std::vector<IniSection> readIni(const std::string &text, const std::string &fileName, Findings &findings);

} // namespace fescueledge
