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
    if (!isTimed && task.percentAtWork >= minPercent) {
        // An earlier coordinator started it, so its progress has to be scaled by what tasks like it take.
        return now() + expectedSpan(step) * (allPercent - std::min(task.percentAtWork, allPercent)) / allPercent;
    }
    const Duration elapsed = task.atWorkSince == TimePoint{} ? Duration::zero() : now() - task.atWorkSince;
    return now()
        + endsLike(step).remaining(step.occurrence->job->policy.name, step.spec->estimate, elapsed, task.percentAtWork,
                                   step.ends);
}

} // namespace fescueledge::workflow
