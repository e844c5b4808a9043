#include "context_pvt.h"

#include <algorithm>

namespace fescueledge::workflow {

namespace {

/// Below this, a reported percentage says too little.
constexpr int minPercent = 20;
constexpr int allPercent = 100;

} // namespace

TimePoint Context::expectedEnd(const Task &task) const
{
    const Step &step = *task.step;
    const bool isTimed = task.atWorkSince != TimePoint{} && task.orderedAt != TimePoint{};
    if (!isTimed && task.percentAtWork >= minPercent && task.percentAtWork < allPercent) {
        // An earlier coordinator started it, so its progress has to be scaled by what tasks like it take.
        return now() + expectedSpan(step) * (allPercent - task.percentAtWork) / allPercent;
    }
    const Duration elapsed = task.atWorkSince == TimePoint{} ? Duration::zero() : now() - task.atWorkSince;
    return now()
        + endsLike(step).remaining(step.occurrence->job->policy.name, step.spec->estimate, elapsed, task.percentAtWork,
                                   step.ends);
}

TimePoint Context::roomFreeAt(const Worker &worker, const Resources &need) const
{
    std::vector<reserve::ExpectedEnd> ends;
    for (const Task *task : worker.tasks) {
        if (!task->step->spec->longRunning) {
            ends.push_back(reserve::ExpectedEnd{FleetTable::reservedBy(*task->step->spec), expectedEnd(*task)});
        }
    }
    return reserve::roomFreeAt(worker.entry.capacity - worker.used, need, std::move(ends), now())
        .value_or(TimePoint::max());
}

} // namespace fescueledge::workflow
