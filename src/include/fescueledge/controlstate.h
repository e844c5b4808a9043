#pragma once

#include "fescueledge/pool.h"
#include "fescueledge/route.h"
#include "fescueledge/teamquota.h"
#include "fescueledge/types.h"

#include <set>
#include <string>
#include <vector>

namespace fescueledge {

/// The configuration that operators decide, as one versioned value. Immutable once accepted.
struct ControlState
{
    ControlVersion version = 0;
    std::string routesText; ///< The table of routes, byte for byte as accepted.
    std::string poolsText; ///< The table of pools, byte for byte as accepted.
    std::set<DataCentreId> dataCentresOut; ///< Data centres that are out of service.
    std::vector<Route> routes; ///< Parsed from routesText, in matching order.
    std::vector<Pool> pools; ///< Parsed from poolsText.
    std::vector<TeamQuota> teams; ///< Parsed from poolsText.

    const Pool *findPool(const std::string &name) const;
    const TeamQuota *findTeam(const std::string &name) const;
    /// The pool that lists @p worker, or nullptr. A worker is in at most one pool.
    const Pool *poolOfWorker(const WorkerId &worker) const;
};

} // namespace fescueledge
