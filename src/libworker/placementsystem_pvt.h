#pragma once

#include "fescueledge/dispatchmessages.h"
#include "fescueledge/placementdecision.h"
#include "placementstrategy_pvt.h"

#include <deque>
#include <memory>
#include <vector>

namespace fescueledge {

class QuarantineSystem;
struct WorkerContext;

/// Decides on which worker an attempt may run, and keeps the last decisions for operators.
class PlacementSystem
{
public:
    PlacementSystem(WorkerContext *context, const QuarantineSystem *quarantine);
    ~PlacementSystem();

    /// Chooses a worker for @p offer; nullptr if there is none. The decision is recorded.
    WorkerRow *choose(const TaskOffer &offer);
    /// The reason of the last choose() that found none.
    std::string lastRefusalReason() const;
    /// Why @p worker may not take @p offer, room not considered.
    RuledOut ruledOut(const WorkerRow &worker, const TaskOffer &offer) const;
    /// True if any attempt may be given to @p worker now.
    bool acceptsNewAttempts(const WorkerRow &worker) const;
    /// The room that @p offer would take on @p worker.
    Resources allocationOn(const WorkerRow &worker, const TaskOffer &offer) const;
    std::vector<PlacementDecision> explain(const TaskId &task) const;

private:
    RuledOut ruledOutForAnyOffer(const WorkerRow &worker) const;
    PlacementCandidate makeCandidate(WorkerRow *worker, const TaskOffer &offer, const Resources &available) const;
    void record(PlacementDecision decision);

    WorkerContext *m_context;
    const QuarantineSystem *m_quarantine;
    std::unique_ptr<PlacementStrategy> m_strategy;
    std::deque<PlacementDecision> m_decisions;
};

} // namespace fescueledge
