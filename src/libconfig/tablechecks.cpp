#include "tablechecks_pvt.h"

#include "nearestname_pvt.h"

#include <algorithm>

namespace fescueledge {

namespace {

/// Records findings about one file.
struct FindingSink
{
    const std::string &fileName;
    Findings &findings;

    void add(const CheckedSection &section, const std::string &key, const std::string &problem,
             const std::string &remedy) const
    {
        findings.push_back({fileName, section.lineOf(key), section.header, key, problem, remedy});
    }
};

bool endsInStar(const std::string &pattern)
{
    return !pattern.empty() && pattern.back() == '*';
}

/// True if a worker name can match both patterns.
bool patternsOverlap(const std::string &a, const std::string &b)
{
    std::string prefixA = endsInStar(a) ? a.substr(0, a.size() - 1) : a;
    std::string prefixB = endsInStar(b) ? b.substr(0, b.size() - 1) : b;
    if (!endsInStar(a) && !endsInStar(b)) {
        return a == b;
    }
    if (endsInStar(a) && endsInStar(b)) {
        std::size_t common = std::min(prefixA.size(), prefixB.size());
        return prefixA.compare(0, common, prefixB, 0, common) == 0;
    }
    const std::string &prefix = endsInStar(a) ? prefixA : prefixB;
    const std::string &name = endsInStar(a) ? b : a;
    return name.compare(0, prefix.size(), prefix) == 0;
}

/// True if both lists match the same method and neither list is more specific than the other.
bool methodsConflict(const std::vector<std::string> &a, const std::vector<std::string> &b)
{
    if (a.empty() || b.empty()) {
        return a.empty() && b.empty();
    }
    return std::find_first_of(a.begin(), a.end(), b.begin(), b.end()) != a.end();
}

void checkPoolName(const TableEntry<Route> &entry, const std::vector<std::string> &poolNames, const FindingSink &sink)
{
    const std::string &pool = entry.entity.pool;
    if (!pool.empty() && std::find(poolNames.begin(), poolNames.end(), pool) == poolNames.end()) {
        sink.add(entry.section, "pool", "there is no pool " + pool, suggestName(pool, poolNames));
    }
}

void checkMaxAttempts(const TableEntry<Route> &entry, const FindingSink &sink)
{
    if (entry.entity.maxAttempts > 1 && !entry.entity.idempotent) {
        sink.add(entry.section, "max-attempts", "a request that is not idempotent would be sent more than once",
                 "write max-attempts = 1, or idempotent = yes if it is");
    }
}

void checkAmbiguity(const std::vector<TableEntry<Route>> &routes, std::size_t index, const FindingSink &sink)
{
    const Route &route = routes[index].entity;
    for (std::size_t i = 0; i < index; ++i) {
        const Route &other = routes[i].entity;
        bool same = !route.pathPrefix.empty() && route.host == other.host && route.pathPrefix == other.pathPrefix;
        if (same && methodsConflict(route.methods, other.methods)) {
            sink.add(routes[index].section, "path",
                     "the route matches the same requests as route " + other.name + " on line "
                         + std::to_string(routes[i].section.line),
                     "give one of them another host, path or methods");
        }
    }
}

void checkPoolLimits(const TableEntry<Pool> &entry, const FindingSink &sink)
{
    if (entry.entity.connections < entry.entity.slots) {
        sink.add(entry.section, "connections", "there are fewer connections than slots",
                 "write " + std::to_string(entry.entity.slots) + " or more");
    }
}

/// Describes the first pair of worker patterns of the two pools that overlap. Empty if none do.
std::string overlapText(const Pool &a, const Pool &b)
{
    for (const std::string &left : a.workers) {
        for (const std::string &right : b.workers) {
            if (patternsOverlap(left, right)) {
                return left == right ? left : std::string(left).append(" and ").append(right);
            }
        }
    }
    return {};
}

void checkOverlap(const std::vector<TableEntry<Pool>> &pools, std::size_t index, const FindingSink &sink)
{
    for (std::size_t i = 0; i < index; ++i) {
        std::string overlap = overlapText(pools[i].entity, pools[index].entity);
        if (!overlap.empty()) {
            sink.add(pools[index].section, "workers",
                     "pool " + pools[i].entity.name + " on line " + std::to_string(pools[i].section.line)
                         + " has some of the same workers: " + overlap,
                     "put each worker into one pool");
        }
    }
}

} // namespace

void checkRoutes(const std::vector<TableEntry<Route>> &routes, const std::vector<std::string> &poolNames,
                 const std::string &fileName, Findings &findings)
{
    FindingSink sink{fileName, findings};
    for (std::size_t i = 0; i < routes.size(); ++i) {
        checkPoolName(routes[i], poolNames, sink);
        checkMaxAttempts(routes[i], sink);
        checkAmbiguity(routes, i, sink);
    }
}

void checkPools(const std::vector<TableEntry<Pool>> &pools, const std::string &fileName, Findings &findings)
{
    FindingSink sink{fileName, findings};
    for (std::size_t i = 0; i < pools.size(); ++i) {
        checkPoolLimits(pools[i], sink);
        checkOverlap(pools, i, sink);
    }
}

} // namespace fescueledge
