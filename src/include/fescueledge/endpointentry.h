#pragma once

#include "fescueledge/types.h"

#include <string>

namespace fescueledge {

/// One service endpoint on a worker that this node owns, as request routing sees it.
struct EndpointEntry
{
    WorkerId worker;
    ShardId shard; ///< Rack shard of the worker.
    Epoch epoch = 0; ///< Fencing token to send with each request.
    std::string pool;
    DataCentreId dataCentre;
    std::string address; ///< `ip:port` of the endpoint.
    bool takesNew = false; ///< False while it leaves, its data centre is out, or it is not adopted yet.
    int inherited = 0; ///< Requests of earlier owners that may still run on it; they use slots and connections.
    Milliseconds reportedP99{0}; ///< Last reported p99 latency, lagging; 0 if none was reported.
};

} // namespace fescueledge
