#pragma once

#include "context_pvt.h"
#include "startwindow_pvt.h"

namespace fescueledge::workflow {

/// Sends start, stop and pace orders, and follows each run until it is known to be on its worker or to have ended.
class OrderSystem
{
public:
    explicit OrderSystem(std::shared_ptr<Context> context);

    /// Starts @p task, which must be idle, on @p worker; its pace is set to @p pace percent as soon as it runs.
    void start(Task *task, Worker *worker, int pace);
    /// Sends no more starts to @p worker until its next answer shows which incarnation it is: another one than the
    /// known one seems to have begun.
    void doubtLife(Worker *worker, const char *reason) const;
    /// Records that @p task has been started.
    void markRunning(Task *task);
    /// Stops the run of @p task, if it has one.
    void stop(Task *task);
    /// Stops a run that belongs to no task in the tables.
    void stopUnknownRun(Worker *worker, const TaskKey &key, RunNumber run);
    /// Stops all runs of @p job.
    void stopJob(Job *job);
    /// Orders the run of @p task to work at @p percent of full speed.
    void orderPace(Task *task, int percent);
    /// Sends the recorded pace of @p task again.
    void resendPace(Task *task);
    /// Stops the earlier runs on @p worker whose start orders may still be carried out. True if a list of its runs
    /// can't tell yet of one of them, because a call about it has not ended.
    bool stopUnsettledRuns(Worker *worker);
    /// Makes all tasks on @p worker idle, because nothing runs there any more. Runs whose start orders may still be
    /// carried out by the next incarnation stay awaited, as earlier runs.
    void markTasksLost(Worker *worker, const LifeEnd &end);

    /// Called when a worker should be observed at once.
    std::function<void(Worker *)> wakeObservation;
    /// Called when a worker has got a run, so that it needs to be observed from now on.
    std::function<void(Worker *)> observe;

    /// Called before the runs on a worker are given up; returns jobs to be ended, because they crash workers.
    std::function<std::vector<Job *>(Worker *, const LifeEnd &)> workerEnded;

    StartWindow window;
    std::uint64_t startsSent = 0;
    std::uint64_t startsRefused = 0;

private:
    /// Identifies the run that an answer is about, as the task may have got another run in the meantime.
    struct RunRef
    {
        TaskKey task;
        RunNumber run = 0;
        WorkerId worker;
    };

    Task *findCurrentTask(const RunRef &ref) const;
    /// Takes the clock from an answer of @p worker, which may be nullptr, to an order for @p incarnation. An answer
    /// that was held up may come when another one is known; its clock is no longer of use.
    void noteAnswer(Worker *worker, std::int64_t incarnation, const OrderResult &result) const;
    void onStarted(const RunRef &ref, TimePoint sentAt, const OrderResult &result);
    void onRefused(Task *task, Worker *worker, const OrderResult &result);
    /// Sends no starts to @p worker for at least @p backoff.
    /// Sends @p worker no starts for a while, because it refused one for lack of room; longer with each refusal.
    void waitForRoom(Worker *worker) const;
    void blockStarts(Worker *worker, Milliseconds backoff) const;
    /// Takes note of the answer to the start of an earlier run on @p worker, which may be nullptr.
    void settleEarlierRun(Worker *worker, const RunRef &ref, OrderOutcome outcome);
    /// A start that reached another incarnation of @p worker than it was for may have given it any lease, also if it
    /// was refused.
    void recordLongestLease(Worker *worker) const;
    void sendConfirmedStop(Worker *worker, const RunRef &ref);
    /// @p incarnation: the known one when the stop was sent.
    void onStopConfirmed(const RunRef &ref, std::int64_t incarnation, OrderOutcome outcome);
    /// Forgets the earlier runs on @p worker that can't go on or begin there; false if there are none.
    bool endEarlierRuns(Worker *worker, const LifeEnd &end) const;
    void sendStop(const RunRef &ref);
    void sendPace(Task *task);
    void onPaced(Task *task, int percent, OrderOutcome outcome) const;
    void onStopped(const RunRef &ref, const OrderResult &result);
    RunNumber nextRun(const Task &task) const;

    std::shared_ptr<Context> m_context;
};

} // namespace fescueledge::workflow
