#pragma once

#include "fescueledge/types.h"

#include <string>

namespace fescueledge {

/// The policies of the owner of a rack and their weights. Settings, so that two deployments can differ.
struct WorkerPolicy
{
    /// How a worker is chosen: `measured`, or a baseline: `random`, `first-fit`, `least-loaded`, `two-choices`,
    /// `weight-carry`.
    std::string placement = "measured";
    /// How services are defended: `throttle`, or a baseline: `none`, `evict-at-once`.
    std::string interference = "throttle";

    double interferenceWeight = 1.0; ///< `measured`: weight of the predicted latency of the service.
    double packingWeight = 0.2; ///< `measured`: weight of the load that the worker would have.
    double admitRatio = 1.0; ///< Batch work goes only where the reported p99 is below this share of the target.
    double relaxRatio = 0.8; ///< Limits on batch work are eased below this share of the target p99.
    double smallestShare = 0.1; ///< Throttling leaves a batch attempt at least this share of its processors.
    Milliseconds settle{4000}; ///< No second action on a worker before a measurement this much later.
    Milliseconds evictAfter{15000}; ///< Eviction only after all batch work has been throttled for this long.

    int quarantineFailures = 4; ///< Failures that count before a worker is quarantined.
    int quarantineJobs = 3; ///< Distinct jobs among them, at least.
    double quarantineShare = 0.8; ///< Share of failures among the ended attempts, at least.
    Milliseconds quarantineWindow{600000}; ///< Ended attempts older than this do not count.
    Milliseconds quarantineBackoff{30000}; ///< Time before the first probe; doubled by each probe that fails.
    Milliseconds quarantineBackoffMax{600000}; ///< Longest time between probes.

    int preemptionVictims = 3; ///< Batch attempts evicted for one latency-critical attempt, at most.
    double preemptionsPerSecond = 2; ///< Evictions for latency-critical work, at most.
    double evacuationsPerSecond = 20; ///< Checkpoints in data centres that are out, at most.
};

} // namespace fescueledge
