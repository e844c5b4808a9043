#pragma once

#include <cstdint>

namespace fescueledge {

/// Counters and gauges of request routing, for metrics. Counters start at 0 with the process.
struct RequestStatistics
{
    std::uint64_t requests = 0; ///< Requests received from callers.
    std::uint64_t succeeded = 0; ///< Complete answers returned to callers.
    std::uint64_t failed = 0; ///< Failures returned to callers.
    std::uint64_t refusedByLimit = 0; ///< Rejected by a customer limit.
    std::uint64_t shed = 0; ///< Rejected or dropped because no slot became free in time.
    std::uint64_t sends = 0; ///< Requests sent to endpoints.
    std::uint64_t retries = 0; ///< Attempts after a failure.
    std::uint64_t hedges = 0; ///< Second attempts while the first was slow.
    std::uint64_t forwardsSent = 0; ///< Requests forwarded to other nodes.
    std::uint64_t forwardsServed = 0; ///< Requests accepted from other nodes.
    std::uint64_t ejections = 0; ///< Ejections of endpoints that failed all requests.
    std::uint64_t replays = 0; ///< Stored answers returned for a known key.
    std::uint64_t unknownOrders = 0; ///< Keyed requests answered with an unknown outcome: they may have run.
    std::uint64_t inFlight = 0; ///< Callers' requests not answered yet.
    std::uint64_t queued = 0; ///< Requests waiting for a slot.
    std::uint64_t ejected = 0; ///< Endpoints currently ejected.
    std::uint64_t ordersUnsettled = 0; ///< Keyed requests whose final row is not durable yet.
};

} // namespace fescueledge
