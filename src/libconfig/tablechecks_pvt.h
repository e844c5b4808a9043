#pragma once

#include "sectionchecker_pvt.h"

#include "fescueledge/pool.h"
#include "fescueledge/route.h"

#include <string>
#include <vector>

namespace fescueledge {

/// A route or pool and the section that defines it.
template<class T>
struct TableEntry
{
    T entity;
    CheckedSection section;
};

/// Checks each route on its own and against the pools, and all routes against each other.
void checkRoutes(const std::vector<TableEntry<Route>> &routes, const std::vector<std::string> &poolNames,
                 const std::string &fileName, Findings &findings);

/// Checks each pool on its own, and that no worker belongs to two pools.
void checkPools(const std::vector<TableEntry<Pool>> &pools, const std::string &fileName, Findings &findings);

} // namespace fescueledge
