#pragma once

#include "sectionchecker_pvt.h"

#include "fescueledge/pool.h"
#include "fescueledge/route.h"

#include <string>
#include <vector>

namespace fescueledge {

/// A route or pool and the section it was read from.
template<class T>
struct TableEntry
{
    T entity;
    CheckedSection section;
};

/// Checks each route by itself and against the pools, and all routes against each other.
void checkRoutes(const std::vector<TableEntry<Route>> &routes, const std::vector<std::string> &poolNames,
                 const std::string &fileName, Findings &findings);

/// Checks each pool by itself and that no worker is in two.
void checkPools(const std::vector<TableEntry<Pool>> &pools, const std::string &fileName, Findings &findings);

} // namespace fescueledge
