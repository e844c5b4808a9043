#include "fescueledge/tableparser.h"

#include "fescueledge/digest.h"
#include "fescueledge/settingserror.h"
#include "tablechecks_pvt.h"
#include "tablekeys_pvt.h"

#include <algorithm>
#include <tuple>

namespace fescueledge {

namespace {

/// The contents of both tables.
struct ParsedTables
{
    std::vector<TableEntry<Route>> routes;
    std::vector<TableEntry<Pool>> pools;
    std::vector<TeamQuota> teams;
};

void readRoutes(const std::string &text, const std::string &fileName, ParsedTables &tables, Findings &findings)
{
    for (const CheckedSection &section : checkSections(text, fileName, routesSchema(), findings)) {
        Route route;
        route.name = section.name;
        applyKeys(routeKeys(), section, route);
        tables.routes.push_back({route, section});
    }
}

void readPools(const std::string &text, const std::string &fileName, ParsedTables &tables, Findings &findings)
{
    for (const CheckedSection &section : checkSections(text, fileName, poolsSchema(), findings)) {
        if (section.kind == "team") {
            TeamQuota team;
            team.team = section.name;
            applyKeys(teamKeys(), section, team);
            tables.teams.push_back(team);
            continue;
        }
        Pool pool;
        pool.name = section.name;
        applyKeys(poolKeys(), section, pool);
        tables.pools.push_back({pool, section});
    }
}

std::vector<std::string> poolNames(const ParsedTables &tables)
{
    std::vector<std::string> names;
    for (const TableEntry<Pool> &entry : tables.pools) {
        names.push_back(entry.entity.name);
    }
    return names;
}

/// True if @p a is matched before @p b: more specific routes come first.
bool matchesBefore(const Route &a, const Route &b)
{
    using Order = std::tuple<std::size_t, bool, bool, std::string>;
    Order orderA(SIZE_MAX - a.pathPrefix.size(), a.host.empty(), a.methods.empty(), a.name);
    Order orderB(SIZE_MAX - b.pathPrefix.size(), b.host.empty(), b.methods.empty(), b.name);
    return orderA < orderB;
}

} // namespace

ControlState parseTables(const std::string &routesText, const std::string &poolsText, const TableFileNames &names)
{
    Findings findings;
    Findings poolFindings;
    ParsedTables tables;
    readRoutes(routesText, names.routes, tables, findings);
    readPools(poolsText, names.pools, tables, poolFindings);
    checkRoutes(tables.routes, poolNames(tables), names.routes, findings);
    checkPools(tables.pools, names.pools, poolFindings);
    sortByLine(findings);
    sortByLine(poolFindings);
    findings.insert(findings.end(), poolFindings.begin(), poolFindings.end());
    if (!findings.empty()) {
        throw SettingsError(findings);
    }
    ControlState control;
    control.routesText = routesText;
    control.poolsText = poolsText;
    for (const TableEntry<Route> &entry : tables.routes) {
        control.routes.push_back(entry.entity);
    }
    std::sort(control.routes.begin(), control.routes.end(), matchesBefore);
    for (const TableEntry<Pool> &entry : tables.pools) {
        control.pools.push_back(entry.entity);
    }
    control.teams = tables.teams;
    return control;
}

std::string tablesDigest(const std::string &routesText, const std::string &poolsText)
{
    return sha256Hex(routesText + "\n--\n" + poolsText);
}

} // namespace fescueledge
