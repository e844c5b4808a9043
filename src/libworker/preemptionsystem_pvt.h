#pragma once

#include "fescueledge/dispatchmessages.h"

#include <optional>
#include <vector>

namespace fescueledge {

class PlacementSystem;
struct AttemptRow;
struct WorkerContext;
struct WorkerRow;

/// Frees capacity for latency-critical attempts by checkpointing batch attempts, of which it limits the number per
/// latency-critical attempt and per second.
class PreemptionSystem
{
public:
    PreemptionSystem(WorkerContext *context, const PlacementSystem *placement);

    /// Starts to free capacity for @p offer. Returns true if capacity is being freed for it, also by an earlier call.
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
