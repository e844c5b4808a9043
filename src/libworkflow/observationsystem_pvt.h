#pragma once

#include "context_pvt.h"

namespace fescueledge::workflow {

class OrderSystem;

/// Asks the workers what runs and what has ended, renews their leases, and takes their answers into the tables.
class ObservationSystem
{
public:
    ObservationSystem(std::shared_ptr<Context> context, OrderSystem *orders);

    /// Observes @p worker as soon as that makes sense.
    void wake(Worker *worker);
    /// Observes workers whose time has come, and gives up those whose leases have passed.
    void tick();
    /// True if every worker that may hold tasks of earlier terms has answered, or can hold none any more.
    bool knowsEarlierRuns() const;

    /// Called after an observation was taken in.
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
