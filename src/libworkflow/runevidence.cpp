#include "runevidence_pvt.h"

#include "entities_pvt.h"

#include <algorithm>

namespace fescueledge::workflow {

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
    return answer.endsComplete || std::any_of(answer.ended.begin(), answer.ended.end(), [&](const EndedRun &end) {
               return end.run == run && end.task == task;
           });
}

bool canTellOf(const Task &task, TimePoint sentAt)
{
    return task.phase != TaskPhase::Starting && sentAt > task.phaseSince;
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
