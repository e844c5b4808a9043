#pragma once

#include "settingvalue_pvt.h"

#include <vector>

namespace fescueledge {

/// One key of a section and the function that stores its value in a @p T.
template<class T>
struct KeyBinding
{
    SettingsKey key;
    void (*assign)(T &target, const SettingValue &value);
};

/// The schema of a section whose keys are @p bindings.
template<class T>
SectionSchema makeSection(const char *kind, bool named, const char *doc, const std::vector<KeyBinding<T>> &bindings)
{
    SectionSchema schema{kind, named, doc, {}};
    for (const KeyBinding<T> &it : bindings) {
        schema.keys.push_back(it.key);
    }
    return schema;
}

} // namespace fescueledge
