#pragma once

#include "fescueledge/settingsschema.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fescueledge {

/// A value that was read. Which member holds it depends on the type of its key.
struct SettingValue
{
    std::string text; ///< Text types: as written.
    std::int64_t number = 0; ///< Numbers: in ms, MB, thousandths, percent or units. Booleans: 0 or 1.
    std::vector<std::string> list; ///< Lists: their items, in the order of the file.
};

/// What became of a text.
struct ValueResult
{
    SettingValue value;
    std::string problem; ///< Empty if the text is a valid value.
    std::string remedy;
};

/// Reads @p text as the value of @p key.
ValueResult readValue(const SettingsKey &key, const std::string &text);

/// True if @p name has only lowercase letters, digits and hyphens, and at most 40 of them.
bool isValidName(const std::string &name);

} // namespace fescueledge
