#include "fescueledge/settingserror.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fescueledge {

namespace {

std::string joinLines(const Findings &findings)
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

void sortByLine(Findings &findings)
{
    std::stable_sort(findings.begin(), findings.end(), [](const Finding &a, const Finding &b) {
        return a.line < b.line;
    });
}

void to_json(nlohmann::json &json, const Finding &finding)
{
    json = {{"file", finding.file},
            {"line", finding.line},
            {"section", finding.section},
            {"key", finding.key},
            {"message", finding.message()}};
}

SettingsError::SettingsError(Findings findings)
    : Error(ErrorKind::InvalidSettings, joinLines(findings))
    , m_findings(std::move(findings))
{
}

const Findings &SettingsError::findings() const
{
    return m_findings;
}

} // namespace fescueledge
