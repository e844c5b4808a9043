#pragma once

#include "fescueledge/dispatchmessages.h"

#include <optional>
#include <vector>

namespace fescueledge {

class PlacementSystem;
struct AttemptRow;
struct WorkerContext;
struct WorkerRow;

/// Makes room for latency-critical attempts by checkpointing batch work: few victims, and few of them a second.
class PreemptionSystem
{
public:
    PreemptionSystem(WorkerContext *context, const PlacementSystem *placement);

    /// Starts to make room for @p offer; returns true if room is being made for it, also since an earlier call.
    bool preemptFor(const TaskOffer &offer);

private:
    std::vector<AttemptRow *> victimsOn(const WorkerRow &worker, const TaskOffer &offer) const;
    bool consumeAllowance(std::size_t victims);

    WorkerContext *m_context;
    const PlacementSystem *m_placement;
    double m_allowance = 0;
    TimePoint m_allowanceUpdatedAt;
};

} // namespace fescueledge
