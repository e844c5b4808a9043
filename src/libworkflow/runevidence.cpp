#include "runevidence_pvt.h"

#include "entities_pvt.h"

#include <algorithm>

namespace fescueledge::workflow {

namespace {

bool listsEnd(const Observation &answer, const TaskKey &task, RunNumber run)
{
    return std::any_of(answer.ended.begin(), answer.ended.end(), [&](const EndedRun &end) {
        return end.run == run && end.task == task;
    });
}

} // namespace

bool listsActive(const Observation &answer, const TaskKey &task, RunNumber run)
{
    return std::any_of(answer.active.begin(), answer.active.end(), [&](const ActiveRun &active) {
        return active.run == run && active.task == task;
    });
}

bool showsOver(const Observation &answer, const TaskKey &task, RunNumber run)
{
    if (listsActive(answer, task, run)) {
        return false;
    }
    return answer.endsComplete || listsEnd(answer, task, run);
}

bool canTellOf(const Task &task, TimePoint sentAt)
{
    return task.phase != TaskPhase::Starting && sentAt > task.phaseSince;
}

bool isStartUnderWay(const Task &task)
{
    return !task.seenOnWorker && task.orderedAt != TimePoint{};
}

EarlierRun asEarlierRun(const Task &task, TimePoint now)
{
    EarlierRun out(keyOf(task), task.run);
    if (isStartUnderWay(task)) {
        out.startOrder = task.phase == TaskPhase::Starting ? StartOrderState::Pending : StartOrderState::Unanswered;
        out.orderedAt = task.orderedAt;
    }
    out.changedAt = now;
    return out;
}

bool showsOver(const Observation &answer, const EarlierRun &run, TimePoint sentAt)
{
    if (listsActive(answer, run.task, run.run)) {
        return false;
    }
    if (listsEnd(answer, run.task, run.run)) {
        return true;
    }
    const bool isRefused = run.startOrder == StartOrderState::Settled
        || (run.startOrder == StartOrderState::Unanswered && run.stopConfirmed);
    return answer.endsComplete && isRefused && sentAt > run.changedAt;
}

bool isListedAsOther(const Worker &worker)
{
    const std::int64_t listed = worker.entry.incarnation;
    return listed != 0 && worker.life.incarnation != 0 && listed != worker.life.incarnation;
}

bool hasUnsettledStart(const Worker &worker)
{
    return std::any_of(worker.tasks.begin(), worker.tasks.end(),
                       [](const Task *task) {
                           return task->phase != TaskPhase::Starting && isStartUnderWay(*task);
                       })
        || std::any_of(worker.earlierRuns.begin(), worker.earlierRuns.end(), [&worker](const EarlierRun &run) {
               return run.startOrder != StartOrderState::Settled || run.changedAt >= worker.observedAt;
           });
}

bool awaitsStopOfStart(const Worker &worker)
{
    return std::any_of(worker.tasks.begin(), worker.tasks.end(), [](const Task *task) {
        return task->phase == TaskPhase::Stopping && isStartUnderWay(*task) && !task->stopConfirmed;
    });
}

bool mayReachNextLife(const EarlierRun &run, const Worker &worker, TimePoint now)
{
    return run.startOrder != StartOrderState::Settled && worker.listed && now < run.orderedAt + lateOrderWindow;
}

bool mayHoldUnknownRuns(const Worker &worker)
{
    return worker.contact == WorkerContact::Unadopted
        || (worker.contact != WorkerContact::Lost && !worker.life.hasListedAll);
}

bool isLeaseOver(const Worker &worker, TimePoint now)
{
    const bool isSilent = worker.contact == WorkerContact::Unadopted || worker.contact == WorkerContact::Silent;
    return isSilent && now > worker.life.leaseExpiresAt;
}

} // namespace fescueledge::workflow
