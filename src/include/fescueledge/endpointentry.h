#pragma once

#include "fescueledge/types.h"

#include <string>

namespace fescueledge {

/// One service endpoint on a worker that this node owns, as request routing sees it.
struct EndpointEntry
{
    WorkerId worker;
    ShardId shard; ///< Rack shard of the worker.
    Epoch epoch = 0; ///< Fencing token sent with each request.
    std::string pool;
    DataCentreId dataCentre;
    std::string address; ///< `ip:port` of the endpoint.
    /// False if the worker is leaving or not adopted yet, or its data centre is out of service.
    bool acceptsNewRequests = false;
    /// Requests of earlier owners that may still run on it; they occupy slots and connections.
    int inheritedRequests = 0;
    Milliseconds reportedP99{0}; ///< Last reported p99 latency, lagging; 0 if none was reported.
};

} // namespace fescueledge
