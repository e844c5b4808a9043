#pragma once

#include "keybinding_pvt.h"

#include "fescueledge/finding.h"

#include <map>
#include <string>
#include <vector>

namespace fescueledge {

/// A value and its line number. Line 0 means a default value.
struct CheckedValue
{
    SettingValue value;
    int line = 0;
};

/// One section whose keys were checked against its schema. It omits keys that failed the check.
struct CheckedSection
{
    std::string kind;
    std::string name; ///< Name after the kind. Empty for a section without a name.
    std::string header; ///< As written between the brackets.
    int line = 0;
    std::map<std::string, CheckedValue> values;

    /// Line of @p key, or of the section header if the file does not set the key.
    int lineOf(const std::string &key) const;
};

/// Parses @p text and checks every section and key in it against @p schema. Adds every error to @p findings.
/// Unnamed sections that are missing from @p text are returned with their defaults.
std::vector<CheckedSection> checkSections(const std::string &text, const std::string &fileName,
                                          const std::vector<SectionSchema> &schema, Findings &findings);

/// Stores the values of @p section in @p target.
template<class T>
void applyKeys(const std::vector<KeyBinding<T>> &bindings, const CheckedSection &section, T &target)
{
    for (const KeyBinding<T> &it : bindings) {
        std::map<std::string, CheckedValue>::const_iterator found = section.values.find(it.key.name);
        if (found != section.values.end()) {
            it.assign(target, found->second.value);
        }
    }
}

} // namespace fescueledge
