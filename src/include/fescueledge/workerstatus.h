#pragma once

#include "fescueledge/resources.h"
#include "fescueledge/types.h"

#include <string>

namespace fescueledge {

/// Status of one worker that this node owns, for operators.
struct WorkerStatus
{
    WorkerId worker;
    ShardId shard;
    Epoch epoch = 0;
    std::string pool; ///< Empty if no pool lists the worker.
    DataCentreId dataCentre;
    bool adopted = false; ///< False until the worker has reported what it runs.
    bool leaving = false;
    bool quarantined = false;
    Resources capacity;
    Resources committed; ///< Used by running and starting attempts, or reserved.
    Resources used; ///< Measured, lagging.
    Milliseconds serviceP99{0}; ///< Measured, lagging.
    int attempts = 0; ///< Attempts running or starting.
    int throttled = 0; ///< Attempts limited to less than their CPU.
    int inheritedRequests = 0; ///< Requests of earlier owners that may still run.
};

} // namespace fescueledge
