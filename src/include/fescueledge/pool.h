#pragma once

#include "fescueledge/resources.h"
#include "fescueledge/types.h"

#include <string>
#include <vector>

namespace fescueledge {

/// One row of the table of pools: workers and the limits on them.
struct Pool
{
    std::string name;
    std::vector<std::string> workers; ///< Names of workers, or name prefixes that end in `*`.
    int slots = 8; ///< Maximum number of requests that one endpoint serves at once.
    int connections = 64; ///< Maximum number of connections to one endpoint.
    int queue = 256; ///< Maximum number of requests waiting for a slot on one node.
    int customerLimit = 0; ///< Maximum number of requests of one customer in flight on one node; 0 for no limit.
    double retryBudget = 0.1; ///< Maximum ratio of retries to first attempts.
    Resources serviceReserve; ///< Resources of each VM that are reserved for the endpoint.
    int batchPercent = 100; ///< Percentage of the remaining resources that batch tasks may use.
    Milliseconds targetP99{0}; ///< Target p99 latency that interference control maintains; 0 for none.
};

} // namespace fescueledge
