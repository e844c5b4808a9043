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

/// One section with its entries in file order.
struct IniSection
{
    std::string name; ///< Text between the brackets.
    int line = 0;
    std::vector<IniEntry> entries;
};

/// Splits @p text into sections. Lines that can't be parsed are added to @p findings and skipped.
std::vector<IniSection> readIni(const std::string &text, const std::string &fileName, Findings &findings);

} // namespace fescueledge
