#pragma once

#include "fescueledge/resources.h"
#include "fescueledge/types.h"

#include <string>

namespace fescueledge {

/// What operators see of one worker that this node owns.
struct WorkerStatus
{
    WorkerId worker;
    ShardId shard;
    Epoch epoch = 0;
    std::string pool; ///< Empty if no pool lists the worker.
    DataCentreId dataCentre;
    bool adopted = false; ///< False until the worker said what runs there.
    bool leaving = false;
    bool quarantined = false;
    Resources capacity;
    Resources committed; ///< Running, starting and held.
    Resources used; ///< Measured, lagging.
    Milliseconds serviceP99{0}; ///< Measured, lagging.
    int attempts = 0; ///< Attempts that run or start.
    int throttled = 0; ///< Attempts with less than their processors.
    int inherited = 0; ///< Requests of earlier owners that may still run.
};

} // namespace fescueledge
