#pragma once

#include "context_pvt.h"

namespace fescueledge::workflow {

/// Sends starts and stops and follows each run until it is known to be on its worker or gone.
class OrderSystem
{
public:
    explicit OrderSystem(std::shared_ptr<Context> context);

    /// Starts @p task, which must be idle, on @p worker; it is slowed down to @p pace percent as soon as it runs.
    void start(Task *task, Worker *worker, int pace);
    /// Takes note that a start has been carried out.
    void markRunning(Task *task);
    /// Stops the run of @p task, if it has one.
    void stop(Task *task);
    /// Stops a run that no task in the tables stands for.
    void stopUnknownRun(Worker *worker, const TaskKey &key, RunNumber run);
    /// Stops all runs of @p job.
    void stopJob(Job *job);
    /// Slows a run down, or lets it work at full speed again.
    void orderPace(Task *task, int percent);
    /// Orders the pace that a run has in the tables once more.
    void resendPace(Task *task);
    /// Makes all tasks on @p worker idle: nothing runs there any more.
    void markTasksLost(Worker *worker, const char *reason);

    /// Called when a worker should be observed at once.
    std::function<void(Worker *)> wakeObservation;

    std::uint64_t startsSent = 0;
    std::uint64_t startsRefused = 0;

private:
    /// Says which run an answer is about, as the task may have gone on meanwhile.
    struct RunRef
    {
        TaskKey task;
        RunNumber run = 0;
        WorkerId worker;
    };

    Task *findCurrentTask(const RunRef &ref) const;
    void onStarted(const RunRef &ref, TimePoint sentAt, const OrderResult &result);
    void onRefused(Task *task, Worker *worker, OrderOutcome outcome);
    /// Sends no starts to @p worker for @p pause at least.
    void blockStarts(Worker *worker, Milliseconds pause) const;
    void sendStop(const RunRef &ref);
    void sendPace(Task *task);
    void onPaced(Task *task, int percent, OrderOutcome outcome) const;
    void onStopped(const RunRef &ref, const OrderResult &result);
    RunNumber nextRun(const Task &task) const;

    std::shared_ptr<Context> m_context;
};

} // namespace fescueledge::workflow
