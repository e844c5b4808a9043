#pragma once

#include "keybinding_pvt.h"

#include "fescueledge/finding.h"

#include <map>
#include <string>
#include <vector>

namespace fescueledge {

/// A value with the line it stands on; line 0 for a default.
struct CheckedValue
{
    SettingValue value;
    int line = 0;
};

/// One section whose keys were checked against its schema. Keys that were refused are missing from it.
struct CheckedSection
{
    std::string kind;
    std::string name; ///< Name after the kind; empty for a section without one.
    std::string header; ///< As written between the brackets.
    int line = 0;
    std::map<std::string, CheckedValue> values;

    /// Line of @p key, or of the section if the file does not give the key.
    int lineOf(const std::string &key) const;
};

/// Reads @p text and checks every section and key in it against @p schema. Adds all that is wrong to @p findings.
/// A section without a name that @p text does not have is returned with its defaults.
std::vector<CheckedSection> checkSections(const std::string &text, const std::string &fileName,
                                          const std::vector<SectionSchema> &schema, Findings &findings);

/// Stores the values of @p section into @p target.
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
