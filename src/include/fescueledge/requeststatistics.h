#pragma once

#include <cstdint>

namespace fescueledge {

/// Counters and gauges of request routing, for metrics. Counters grow from the start of the process.
struct RequestStatistics
{
    std::uint64_t requests = 0; ///< Requests of callers.
    std::uint64_t succeeded = 0; ///< Whole answers given to callers.
    std::uint64_t failed = 0; ///< Typed failures given to callers.
    std::uint64_t refusedByLimit = 0; ///< Refused by a customer's limit.
    std::uint64_t shed = 0; ///< Refused or dropped because no slot came free in time.
    std::uint64_t sends = 0; ///< Requests sent to endpoints.
    std::uint64_t retries = 0; ///< Further attempts after a failure.
    std::uint64_t hedges = 0; ///< Second attempts while the first was slow.
    std::uint64_t forwardsSent = 0; ///< Requests handed to other nodes.
    std::uint64_t forwardsServed = 0; ///< Requests of other nodes that were accepted.
    std::uint64_t ejections = 0; ///< Endpoints ejected because they failed everything.
    std::uint64_t replays = 0; ///< Stored answers given for a key seen before.
    std::uint64_t unknownOrders = 0; ///< Keyed requests answered "may have run".
    std::uint64_t inFlight = 0; ///< Requests of callers not answered yet.
    std::uint64_t queued = 0; ///< Requests that wait for a slot.
    std::uint64_t ejected = 0; ///< Endpoints ejected now.
    std::uint64_t ordersUnsettled = 0; ///< Keyed requests whose final row is not durable yet.
};

} // namespace fescueledge
