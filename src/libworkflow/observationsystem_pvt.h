#pragma once

#include "context_pvt.h"

namespace fescueledge::workflow {

class CrashLedger;
class OrderSystem;

/// Asks the workers for their active and ended runs, renews their leases, and applies their answers to the tables.
class ObservationSystem
{
public:
    ObservationSystem(std::shared_ptr<Context> context, OrderSystem *orders, CrashLedger *crashes);

    /// Observes @p worker as soon as possible.
    void wake(Worker *worker);
    /// Observes @p worker if it is due and not observed yet.
    void observe(Worker *worker);
    /// Records by how much the loop was late at its last tick.
    void recordLoopDelay(Duration delay);
    /// Observes workers that are due, and marks those whose leases have expired as lost.
    void tick();
    /// To be called when the entry of @p worker was read: if it names another incarnation than the known one, the
    /// worker is asked.
    void checkListedLife(Worker *worker);
    /// True if every worker that may hold tasks of earlier terms has answered, can hold none any more, or has its runs
    /// named in the record.
    bool knowsEarlierRuns() const;
    /// A worker whose answer, or the end of whose lease, knowsEarlierRuns() waits for; nullptr if there is none.
    const Worker *awaitedWorker() const;
    /// Whether @p worker may hold tasks of earlier terms that are neither known nor named in the record.
    static bool mayHoldEarlierRuns(const Worker &worker);
    /// Whether workers that are not known may hold tasks of earlier terms.
    bool mayHaveUnknownWorkers() const
    {
        return m_context->now() < m_earlierRunsUnknownUntil;
    }
    /// Until @p time, workers that are not known may hold tasks of earlier terms.
    void setEarlierRunsUnknownUntil(TimePoint time)
    {
        m_earlierRunsUnknownUntil = time;
    }

    /// Called after an observation has been applied.
    std::function<void(Worker *)> observed;

private:
    bool needsObservation(const Worker &worker) const;
    /// The pause after an answer of @p worker before it is observed again.
    Duration pauseFor(const Worker &worker) const;
    void onAnswer(const WorkerId &id, TimePoint sentAt, const Observation &answer);
    /// Takes note of whether @p answer has all ends of runs on @p worker.
    void noteListedEnds(Worker *worker, const Observation &answer);
    void onNoAnswer(Worker *worker, const Observation &answer);
    void adopt(Worker *worker, TimePoint sentAt, const Observation &answer);
    /// Gives up what the former incarnation of @p worker held, and begins with what is known of the one that answered.
    void beginLife(Worker *worker, TimePoint sentAt, const Observation &answer);
    void applyActiveRun(Worker *worker, const ActiveRun &run);
    /// Whether the job of @p run, listed by @p worker and not in the tables, may have been accepted and not been read
    /// yet. Then the run is kept as an earlier one, so that its task starts nowhere else meanwhile.
    bool keepUnreadRun(Worker *worker, const ActiveRun &run);
    /// Whether @p worker has runs that are to go on.
    bool hasRunsToKeep(const Worker &worker) const;
    /// Whether @p run, seen at work, is to be the current run of @p task.
    static bool supersedes(const Task &task, const ActiveRun &run);
    /// Makes run @p run on @p worker the current run of @p task.
    void adoptRun(Worker *worker, Task *task, RunNumber run);
    /// Stops a run that is not the current one of its task, which can start again when the run is over. @p task is
    /// nullptr if the task is not in the tables.
    void awaitEnd(Worker *worker, const EarlierRun &run, const Task *task);
    /// Forgets start orders to @p worker, which does not answer, that can't reach its next incarnation any more.
    void forgetLateStarts(Worker *worker);
    void applyRunEnd(Worker *worker, const EndedRun &end);
    void finishRun(Task *task, const EndedRun &end);
    void finishEarlierRun(Task *task, const EndedRun &end);
    /// Records that @p task is done by its run @p run, and with it all of its gang.
    void finishDone(Task *task, RunNumber run);
    /// Records that @p task is done by run @p run. What may still be on a worker is observed until it is over, and
    /// stopped if it is a later run.
    void setDone(Task *task, RunNumber run);
    void updateQuarantine(Worker *worker, const Task &task, RunEnd how);
    void releaseMissingRuns(Worker *worker, TimePoint sentAt, const Observation &answer);

    std::shared_ptr<Context> m_context;
    OrderSystem *m_orders;
    CrashLedger *m_crashes;
    TimePoint m_earlierRunsUnknownUntil{};
    Duration m_loopDelay{0}; ///< Running average.
};

} // namespace fescueledge::workflow
