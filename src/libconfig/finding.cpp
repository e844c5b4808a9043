#include "fescueledge/settingserror.h"

namespace fescueledge {

namespace {

std::string joined(const Findings &findings)
{
    std::string text;
    for (const Finding &finding : findings) {
        if (!text.empty()) {
            text += '\n';
        }
        text += finding.toString();
    }
    return text;
}

} // namespace

std::string Finding::message() const
{
    return remedy.empty() ? problem : problem + "; " + remedy;
}

std::string Finding::toString() const
{
    std::string text = file + ":" + std::to_string(line) + ": ";
    if (!section.empty()) {
        text += "[" + section + "] ";
    }
    if (!key.empty()) {
        text += key + ": ";
    }
    return text + message();
}

SettingsError::SettingsError(Findings findings)
    : Error(ErrorKind::InvalidSettings, joined(findings))
    , m_findings(std::move(findings))
{
}

const Findings &SettingsError::findings() const
{
    return m_findings;
}

} // namespace fescueledge
