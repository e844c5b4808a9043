#include "attemptend_pvt.h"

#include <algorithm>

namespace fescueledge {

namespace {

constexpr Milliseconds failureDelay{1000};
constexpr Milliseconds lossDelay{200};
constexpr Milliseconds stoppedDelay{200};
constexpr Milliseconds refusedDelay{500};
constexpr int maxDoublings = 6;

Duration exponentialDelay(Milliseconds base, int times)
{
    return base * (1 << std::min(times, maxDoublings));
}

AttemptEnd finished(TaskRecord task)
{
    task.state = TaskState::Finished;
    task.checkpoint.clear();
    return {std::move(task), Duration::zero()};
}

/// Returns the task to pending, or ends it like the other waiting tasks if the job is closed.
AttemptEnd retryOrClose(const JobRecord &job, TaskRecord task, Duration delay)
{
    task.state = job.isClosed() ? job.rest : TaskState::Pending;
    return {std::move(task), delay};
}

AttemptEnd failed(const JobRecord &job, TaskRecord task, const std::string &detail)
{
    ++task.failures;
    recordEnd(task, "failed", detail);
    if (task.failures >= job.spec.maxAttempts) {
        task.state = TaskState::Failed;
        return {std::move(task), Duration::zero()};
    }
    const Duration delay = exponentialDelay(failureDelay, task.failures - 1);
    return retryOrClose(job, std::move(task), delay);
}

AttemptEnd lost(const JobRecord &job, TaskRecord task, const std::string &detail)
{
    ++task.losses;
    recordEnd(task, "lost", detail);
    if (task.losses >= job.spec.maxLosses) {
        task.state = TaskState::Failed;
        return {std::move(task), Duration::zero()};
    }
    const Duration delay = exponentialDelay(lossDelay, task.losses - 1);
    return retryOrClose(job, std::move(task), delay);
}

AttemptEnd checkpointed(const JobRecord &job, TaskRecord task, const TaskReport &report)
{
    if (!report.checkpoint.empty()) {
        task.checkpoint = report.checkpoint;
    }
    recordEnd(task, "checkpointed", report.detail);
    return retryOrClose(job, std::move(task), Duration::zero());
}

} // namespace

AttemptEnd decideAttemptEnd(const JobRecord &job, const TaskRecord &task, const OutcomeReport::Item &item)
{
    TaskRecord next = task;
    switch (item.report.state) {
    case TaskReport::State::Finished:
        return finished(std::move(next));
    case TaskReport::State::Failed:
        return failed(job, std::move(next), item.report.detail);
    case TaskReport::State::Checkpointed:
        return checkpointed(job, std::move(next), item.report);
    case TaskReport::State::Refused:
        recordEnd(next, "refused", item.report.detail);
        return retryOrClose(job, std::move(next), refusedDelay);
    case TaskReport::State::Stopped:
        if (!item.workerLost) {
            recordEnd(next, "stopped", item.report.detail);
            return retryOrClose(job, std::move(next), stoppedDelay);
        }
        break;
    case TaskReport::State::Running:
        break;
    }
    return lost(job, std::move(next), item.report.detail);
}

} // namespace fescueledge
