#pragma once

#include "fescueledge/types.h"

#include <string>

namespace fescueledge {

/// Policies of rack owners, with their parameters. They are settings because deployments may differ.
struct WorkerPolicy
{
    /// How a worker is chosen: `measured`, or a baseline: `random`, `first-fit`, `least-loaded`, `two-choices`,
    /// `weight-carry`.
    std::string placement = "measured";
    /// How services are protected from batch work: `throttle`, or a baseline: `none`, `evict-at-once`.
    std::string interference = "throttle";

    double interferenceWeight = 1.0; ///< `measured`: weight of the predicted service latency.
    double packingWeight = 0.2; ///< `measured`: weight of the load that the worker would have.
    double admitRatio = 1.0; ///< Batch work is admitted only where the reported p99 is below this share of the target.
    double relaxRatio = 0.8; ///< Throttling of batch work is relaxed below this share of the target p99.
    double minCpuShare = 0.1; ///< Minimum share of its CPU that a throttled batch attempt keeps.
    /// Minimum time between actions on a worker, so that measurements reflect the last.
    Milliseconds settleDelay{4000};
    Milliseconds evictionDelay{15000}; ///< Time that all batch work must have been throttled before eviction.

    int quarantineFailures = 4; ///< Failures after which a worker is quarantined.
    int quarantineJobs = 3; ///< Minimum number of distinct jobs among the failures.
    double quarantineShare = 0.8; ///< Minimum share of failures among the ended attempts.
    Milliseconds quarantineWindow{600000}; ///< Ended attempts older than this do not count.
    Milliseconds quarantineBackoff{30000}; ///< Time before the first probe; doubled by each failed probe.
    Milliseconds quarantineBackoffMax{600000}; ///< Maximum time between probes.

    int preemptionVictims = 3; ///< Maximum number of batch attempts evicted for one latency-critical attempt.
    double preemptionsPerSecond = 2; ///< Maximum rate of evictions for latency-critical work.
    double evacuationsPerSecond = 20; ///< Maximum rate of checkpoints in data centres that are out of service.
};

} // namespace fescueledge
