#pragma once

#include "fescueledge/types.h"

#include <string>
#include <vector>

namespace fescueledge {

/// Why a worker was no candidate for an attempt.
enum class RuledOut {
    No, ///< It was a candidate.
    NotActing, ///< This node may not act for the worker's rack.
    NotAdopted, ///< The worker has not said yet what runs there.
    NoPool, ///< No pool in force lists the worker.
    OtherPool, ///< The offer names another pool.
    DataCentreOut, ///< Its data centre is out of service.
    Leaving, ///< The VM list shows it as leaving or no longer.
    Silent, ///< It does not answer.
    Avoided, ///< An earlier attempt of the task failed there.
    Quarantined, ///< It fails what it starts.
    Earmarked, ///< Room on it is kept for latency-critical work.
    ServiceLatency, ///< The service on it is slower than its target.
    NoRoom, ///< Processors, memory or accelerators do not suffice.
};

/// The name of @p ruledOut in answers to operators and in reasons, in kebab case.
const char *ruledOutName(RuledOut ruledOut);

/// The record of one decision where to run an attempt.
struct PlacementDecision
{
    struct Candidate
    {
        WorkerId worker;
        RuledOut ruledOut = RuledOut::No;
        double cost = 0; ///< What the strategy compared; the smallest wins.
    };

    TaskId task;
    Attempt attempt = 0;
    TimePoint when;
    std::string strategy; ///< Name of the placement strategy.
    std::string measure; ///< The measure that decided.
    WorkerId chosen; ///< Empty if no worker was chosen.
    std::vector<Candidate> candidates;
};

} // namespace fescueledge
