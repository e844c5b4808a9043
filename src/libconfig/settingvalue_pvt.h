#pragma once

#include "fescueledge/settingsschema.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fescueledge {

/// A parsed value. The type of the key determines which member holds it.
struct SettingValue
{
    std::string text; ///< Text types: as written.
    std::int64_t number = 0; ///< Numbers: in ms, MB, thousandths, percent or units. Booleans: 0 or 1.
    std::vector<std::string> list; ///< Lists: the items in file order.
};

/// The result of parsing a value.
struct ValueResult
{
    SettingValue value;
    std::string problem; ///< Empty if the text is a valid value.
    std::string remedy; ///< How to correct the text.
};

/// Parses and validates @p text as the value of @p key.
ValueResult readValue(const SettingsKey &key, const std::string &text);

/// True if @p name consists of 1 to 40 lowercase letters, digits and hyphens.
bool isValidName(const std::string &name);

} // namespace fescueledge
