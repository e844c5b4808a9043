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

/// Chooses the worker for an attempt, and keeps the latest decisions for operators.
class PlacementSystem
{
public:
    PlacementSystem(WorkerContext *context, const QuarantineSystem *quarantine);
    ~PlacementSystem();

    /// Chooses a worker for @p offer and records the decision. Returns nullptr if no worker qualifies.
    WorkerRow *choose(const TaskOffer &offer);
    /// Returns why the last choose() found no worker: how many workers each reason ruled out.
    std::string lastRefusalReason() const;
    /// Returns why @p worker may not run @p offer, available resources aside.
    ExclusionReason exclusionReason(const WorkerRow &worker, const TaskOffer &offer) const;
    /// True if @p worker may be given new attempts now.
    bool acceptsNewAttempts(const WorkerRow &worker) const;
    /// Returns the resources that @p offer would be allocated on @p worker.
    Resources allocationOn(const WorkerRow &worker, const TaskOffer &offer) const;
    std::vector<PlacementDecision> explain(const TaskId &task) const;

private:
    ExclusionReason ruledOutForAnyOffer(const WorkerRow &worker) const;
    PlacementCandidate makeCandidate(WorkerRow *worker, const TaskOffer &offer, const Resources &available) const;
    void record(PlacementDecision decision);

    WorkerContext *m_context;
    const QuarantineSystem *m_quarantine;
    std::unique_ptr<PlacementStrategy> m_strategy;
    std::deque<PlacementDecision> m_decisions;
};

} // namespace fescueledge
