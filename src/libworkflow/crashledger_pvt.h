#pragma once

#include "context_pvt.h"

#include <set>
#include <vector>

namespace fescueledge::workflow {

/// Tells apart the tasks that crash the workers that start them from those that were on a worker that crashed.
///
/// A run counts as crashed if its worker ended without notice before it had reported the run at work for a while. A
/// task with such a run is a suspect. It starts next on a worker that is isolated for its job: no other run there is
/// new, and none is added. A crash there is evidence against the job; a run that lasts clears the task.
class CrashLedger
{
public:
    explicit CrashLedger(std::shared_ptr<Context> context);

    /// Counts the crash of @p worker for the new runs on it; call before they are released. Returns the jobs that are
    /// given up and to be ended.
    std::vector<Job *> recordCrash(Worker *worker, const LifeEnd &end);
    /// Takes back what was counted for @p worker: the same incarnation answers again.
    void retractCrash(Worker *worker);
    /// Takes back the crash counted for @p run, which a worker has listed.
    void retractRun(Task *task, RunNumber run);
    /// To be called when the worker of @p task has reported its current run at work.
    void reportAtWork(Task *task);
    /// To be called when a run of @p task has ended by itself.
    void reportRunEnd(Task *task);

    /// Whether the crashes counted for @p task are durable enough for it to start at @p now. A first crash is waited
    /// for only briefly: the task is most likely innocent, and work goes on while the store is away. So the loss of a
    /// coordinator loses two crashes at most.
    static bool mayStartAgain(const Task &task, TimePoint now);
    /// Whether @p task has to wait until the suspects of its job are cleared.
    static bool waitsForSuspects(const Task &task);
    /// The worker that is isolated for @p job; nullptr if there is none.
    Worker *isolatedFor(const Job &job) const;
    /// Whether one more worker may be isolated at present.
    bool mayIsolate() const;
    void isolate(Worker *worker, const Job &job);
    /// Ends the isolation of workers on which no suspect is left.
    void tick();

private:
    /// Whether the crash of @p worker is one of many on its rack, in its data centre or in the fleet that new runs of
    /// @p job do not account for.
    bool isPartOfOutage(const Worker &worker, const JobId &job) const;
    void count(Worker *worker, Task *task, bool isolated, RunsOver reason);
    bool isGivenUp(const Task &task) const;
    void logGivenUp(const Task &task) const;

    std::shared_ptr<Context> m_context;
    std::set<WorkerId> m_isolated;
};

} // namespace fescueledge::workflow
