#pragma once

#include "fescueledge/decisionrecord.h"
#include "fescueledge/dispatchresult.h"

#include <functional>
#include <memory>
#include <vector>

namespace fescueledge {

/// One attempt to run a request on an endpoint that this node owns.
struct LocalAttempt
{
    ServiceRequest request;
    std::string pool;
    TimePoint deadline;
    int urgency = 0;
    bool idempotent = false;
    std::vector<WorkerId> avoid; ///< Workers that are chosen only if no other is free.
    std::shared_ptr<DecisionRecord> record;
    WorkerId sentTo; ///< Worker that this node sent the attempt to; empty before that.
    std::function<void(const DispatchResult &)> handler;
};

/// The load on the endpoints of a pool that one node owns.
struct PoolLoad
{
    int freeSlots = 0; ///< On endpoints that are not much slower than the best one.
    int totalSlots = 0;
    int queued = 0;
    double latencyMs = 0; ///< Expected latency of the next request, without the wait in the queue.
};

/// The result of an attempt that failed before a byte was sent.
DispatchResult notRun(ErrorKind error, const std::string &message);

} // namespace fescueledge
