#pragma once

#include "fescueledge/resources.h"
#include "fescueledge/types.h"

#include <string>
#include <vector>

namespace fescueledge {

/// One row of the table of pools: VMs and the limits on them.
struct Pool
{
    std::string name;
    std::vector<std::string> workers; ///< Names of workers, or name prefixes that end in `*`.
    int slots = 8; ///< Requests in service on one endpoint at most.
    int connections = 64; ///< Connections to one endpoint at most.
    int queue = 256; ///< Requests that wait for a slot on one node at most.
    int customerLimit = 0; ///< Requests in flight of one customer on one node at most; 0 for no limit.
    double retryBudget = 0.1; ///< Retries per first send, at most.
    Resources serviceReserve; ///< Part of each VM that is kept for the endpoint.
    int batchPercent = 100; ///< Share of the rest that batch tasks may use.
    Milliseconds targetP99{0}; ///< Latency that interference control defends; 0 for none.
};

} // namespace fescueledge
