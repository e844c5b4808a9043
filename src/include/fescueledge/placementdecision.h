#pragma once

#include "fescueledge/types.h"

#include <string>
#include <vector>

namespace fescueledge {

/// Why a worker was not eligible for an attempt.
enum class ExclusionReason {
    None, ///< It was eligible.
    NotActing, ///< This node may not act for the worker's rack.
    NotAdopted, ///< The worker has not yet reported what it runs.
    NoPool, ///< No current pool lists the worker.
    OtherPool, ///< The offer names another pool.
    DataCentreOut, ///< Its data centre is out of service.
    Leaving, ///< The VM list shows it as leaving or no longer lists it.
    Silent, ///< It does not answer.
    Avoided, ///< An earlier attempt of the task failed there.
    Quarantined, ///< It fails the tasks that it starts.
    Earmarked, ///< Its free capacity is reserved for latency-critical work.
    ServiceLatency, ///< The service on it is slower than its target.
    InsufficientCapacity, ///< It has too little CPU, memory or accelerators free.
};

/// The name of @p exclusionReason in answers to operators and in reasons, in kebab case.
const char *exclusionReasonName(ExclusionReason exclusionReason);

/// Record of one placement decision for an attempt.
struct PlacementDecision
{
    struct Candidate
    {
        WorkerId worker;
        ExclusionReason exclusionReason = ExclusionReason::None;
        double cost = 0; ///< Value that the strategy compared; the smallest wins.
    };

    TaskId task;
    Attempt attempt = 0;
    TimePoint when;
    std::string strategy; ///< Name of the placement strategy.
    std::string measure; ///< Name of the deciding measure.
    WorkerId chosen; ///< Empty if no worker was chosen.
    std::vector<Candidate> candidates;
};

} // namespace fescueledge
