#include "disruptionbudget_pvt.h"

namespace fescueledge::workflow {

namespace {

/// Deferred moves of a step are logged at most this often.
constexpr std::chrono::seconds deferralLogInterval{2};

} // namespace

DisruptionBudget::DisruptionBudget(std::shared_ptr<Context> context)
    : m_context(std::move(context))
{
}

bool DisruptionBudget::allowsMove(const Task &task) const
{
    const std::uint32_t limit = task.step->spec->maxUnavailable;
    if (limit == 0) {
        return true;
    }
    const AwayTasks away = othersAway(task);
    if (away.total() < limit) {
        return true;
    }
    logDeferredMove(task, away);
    return false;
}

AwayTasks DisruptionBudget::othersAway(const Task &task) const
{
    AwayTasks away;
    for (const Task &other : task.step->tasks) {
        if (&other == &task) {
            continue;
        }
        switch (other.phase) {
        case TaskPhase::Done:
            break;
        case TaskPhase::Idle:
            ++away.waiting;
            break;
        case TaskPhase::Stopping:
            ++away.stopping;
            break;
        case TaskPhase::Starting:
        case TaskPhase::Uncertain:
            ++away.starting;
            break;
        case TaskPhase::Running:
            countRunning(other, &away);
            break;
        }
    }
    return away;
}

void DisruptionBudget::countRunning(const Task &task, AwayTasks *away) const
{
    if (!isReachable(*task.worker)) {
        ++away->unreachable;
    } else if (!isAtWork(task)) {
        ++away->starting;
    } else if (task.step->spec->gang) {
        ++away->ganged;
    }
}

bool DisruptionBudget::isReachable(const Worker &worker) const
{
    return worker.contact == WorkerContact::Adopted && worker.life.unansweredCalls == 0 && !worker.life.isDoubted;
}

bool DisruptionBudget::isAtWork(const Task &task) const
{
    // A run that is slowed down may report less than it would at full pace.
    const bool isSlowed = expectedPace(task) < fullPace;
    const bool works = task.percentAtWork >= fullPace || (isSlowed && task.hasStartedUp);
    // A worker lists a run that a predecessor has stopped until it has ended.
    return works && !task.hasUnlistedEnd && task.worker->observedAt >= task.phaseSince + m_context->settings.stopGrace;
}

void DisruptionBudget::logDeferredMove(const Task &task, const AwayTasks &away) const
{
    const TimePoint now = m_context->now();
    if (now < task.step->deferralLoggedAt + deferralLogInterval) {
        return;
    }
    task.step->deferralLoggedAt = now;
    m_context->log->write(LogLine("run_move_deferred")
                              .with("job", task.step->occurrence->job->id)
                              .with("task", toString(keyOf(task)))
                              .with("worker", task.worker->id)
                              .with("max_unavailable", static_cast<std::int64_t>(task.step->spec->maxUnavailable))
                              .with("away", static_cast<std::int64_t>(away.total()))
                              .with("waiting", static_cast<std::int64_t>(away.waiting))
                              .with("starting", static_cast<std::int64_t>(away.starting))
                              .with("stopping", static_cast<std::int64_t>(away.stopping))
                              .with("unreachable", static_cast<std::int64_t>(away.unreachable))
                              .with("ganged", static_cast<std::int64_t>(away.ganged)));
}

} // namespace fescueledge::workflow
