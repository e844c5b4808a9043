#include "fescueledge/settingsparser.h"

#include "daemonkeys_pvt.h"
#include "fescueledge/settingserror.h"
#include "sectionchecker_pvt.h"

#include <fstream>
#include <set>

namespace fescueledge {

namespace {

constexpr int percentScale = 100;
constexpr Milliseconds adoptionDelay{4000}; ///< Allowance for a new owner to notice the takeover and reach its workers.

Milliseconds withDrift(Milliseconds time, int driftPercent)
{
    return time * (percentScale + driftPercent) / percentScale;
}

/// Upper bound on the time from the failure of a node until another node owns its shards and has reached its workers.
Milliseconds takeoverTime(const DaemonSettings &settings)
{
    const LeaseSettings &leases = settings.leases;
    return withDrift(leases.store + leases.grant, leases.driftPercent) + 2 * settings.platform.tableTimeout
        + adoptionDelay;
}

using SectionMap = std::map<std::string, CheckedSection>;

DaemonSettings makeSettings(const SectionMap &sections)
{
    DaemonSettings settings;
    applyKeys(nodeKeys(), sections.at("node"), settings.node);
    applyKeys(listenKeys(), sections.at("listen"), settings.listen);
    applyKeys(platformKeys(), sections.at("platform"), settings.platform);
    applyKeys(operatorKeys(), sections.at("operator"), settings.operatorAccess);
    applyKeys(leaseKeys(), sections.at("leases"), settings.leases);
    applyKeys(limitKeys(), sections.at("limits"), settings.limits);
    applyKeys(logKeys(), sections.at("log"), settings.log);
    applyKeys(workflowKeys(), sections.at("workflow"), settings.workflow);
    return settings;
}

/// Checks that span several keys.
class SettingsChecks
{
public:
    SettingsChecks(const std::string &fileName, const SectionMap &sections, Findings &findings)
        : m_fileName(fileName)
        , m_sections(sections)
        , m_findings(findings)
    {
    }

    void checkListeners(const ListenSettings &listen)
    {
        std::set<std::string> used;
        const std::pair<const char *, std::string> addresses[] = {
            {"caller", listen.caller}, {"operator", listen.operatorAddress}, {"peer", listen.peer}};
        for (const std::pair<const char *, std::string> &it : addresses) {
            if (!it.second.empty() && !used.insert(it.second).second) {
                addFinding("listen", it.first, "another listener has the same address", "give each its own ip:port");
            }
        }
    }

    void checkToken(const OperatorSettings &access)
    {
        if (hasFinding("operator")) {
            return;
        }
        if (access.token.empty() == access.tokenFile.empty()) {
            addFinding("operator", access.token.empty() ? "token" : "token-file",
                       access.token.empty() ? "no token is given" : "two tokens are given",
                       "write either token or token-file");
        }
    }

    void checkLeases(const DaemonSettings &settings)
    {
        if (hasFinding("leases") || hasFinding("platform")) {
            return;
        }
        const LeaseSettings &leases = settings.leases;
        if (leases.grant >= leases.store) {
            addFinding("leases", "grant", "the grant is not shorter than the store lease",
                       "write less than " + numberText(ValueType::Duration, leases.store.count()));
        }
        if (settings.platform.tableTimeout >= leases.store) {
            addFinding("platform", "table-timeout", "one lost answer of the table service would cost the store lease",
                       "write less than " + numberText(ValueType::Duration, leases.store.count()));
        }
        if (inForceTime(settings) >= maxInForceTime) {
            addFinding(
                "leases", "store",
                "a change could take " + numberText(ValueType::Duration, inForceTime(settings).count())
                    + " to be in force everywhere",
                "shorten store, grant or table-timeout, so that store + grant, with drift, + table-timeout is below "
                    + numberText(ValueType::Duration, maxInForceTime.count()));
        }
        if (leases.worker <= takeoverTime(settings)) {
            addFinding("leases", "worker", "tasks would stop before another node can take over their worker",
                       "write more than " + numberText(ValueType::Duration, takeoverTime(settings).count()));
        }
    }

private:
    bool hasFinding(const std::string &section) const
    {
        for (const Finding &finding : m_findings) {
            if (finding.section == section) {
                return true;
            }
        }
        return false;
    }

    void addFinding(const std::string &section, const std::string &key, const std::string &problem,
                    const std::string &remedy)
    {
        m_findings.push_back({m_fileName, m_sections.at(section).lineOf(key), section, key, problem, remedy});
    }

    const std::string &m_fileName;
    const SectionMap &m_sections;
    Findings &m_findings;
};

} // namespace

Milliseconds inForceTime(const DaemonSettings &settings)
{
    const LeaseSettings &leases = settings.leases;
    return withDrift(leases.store + leases.grant, leases.driftPercent) + settings.platform.tableTimeout;
}

DaemonSettings parseSettings(const std::string &text, const std::string &fileName)
{
    Findings findings;
    SectionMap sections;
    for (const CheckedSection &section : checkSections(text, fileName, daemonSchema(), findings)) {
        sections.emplace(section.kind, section);
    }
    DaemonSettings settings = makeSettings(sections);
    SettingsChecks checks(fileName, sections, findings);
    checks.checkListeners(settings.listen);
    checks.checkToken(settings.operatorAccess);
    checks.checkLeases(settings);
    if (!findings.empty()) {
        sortByLine(findings);
        throw SettingsError(findings);
    }
    return settings;
}

std::string readTokenFile(const std::string &path)
{
    std::ifstream file(path);
    std::string token;
    if (!std::getline(file, token)) {
        throw Error(ErrorKind::InvalidSettings, "the token file " + path + " can't be read or is empty");
    }
    token.erase(token.find_last_not_of(" \t\r") + 1);
    SettingsKey key{"token-file", ValueType::Secret, true, "", 0, 0, ""};
    ValueResult result = readValue(key, token);
    if (!result.problem.empty()) {
        throw Error(ErrorKind::InvalidSettings, path + ":1: " + result.problem + "; " + result.remedy);
    }
    return token;
}

std::string operatorToken(const OperatorSettings &settings)
{
    return settings.token.empty() ? readTokenFile(settings.tokenFile) : settings.token;
}

} // namespace fescueledge
