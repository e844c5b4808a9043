#pragma once

#include "context_pvt.h"

namespace fescueledge::workflow {

class OrderSystem;

/// Asks the workers for their active and ended runs, renews their leases, and applies their answers to the tables.
class ObservationSystem
{
public:
    ObservationSystem(std::shared_ptr<Context> context, OrderSystem *orders);

    /// Observes @p worker as soon as possible.
    void wake(Worker *worker);
    /// Observes workers that are due, and marks those whose leases have expired as lost.
    void tick();
    /// True if every worker that may hold tasks of earlier terms has answered, can hold none any more, or has its runs
    /// named in the record.
    bool knowsEarlierRuns() const;

    /// Called after an observation has been applied.
    std::function<void(Worker *)> observed;

private:
    bool needsObservation(const Worker &worker) const;
    void observe(Worker *worker);
    void onAnswer(const WorkerId &id, TimePoint sentAt, bool leased, const Observation &answer);
    void onNoAnswer(Worker *worker, OrderOutcome outcome);
    void adopt(Worker *worker, const Observation &answer);
    void applyActiveRun(Worker *worker, const ActiveRun &run);
    void applyRunEnd(Worker *worker, const EndedRun &end);
    void finishRun(Task *task, const EndedRun &end);
    void finishEarlierRun(Task *task, const EndedRun &end);
    void updateQuarantine(Worker *worker, const Task &task, RunEnd how);
    void releaseMissingRuns(Worker *worker, TimePoint sentAt, const Observation &answer);

    std::shared_ptr<Context> m_context;
    OrderSystem *m_orders;
};

} // namespace fescueledge::workflow
