#include "recordpart_pvt.h"

#include "entities_pvt.h"
#include "fescueledge/digest.h"

#include <algorithm>

namespace fescueledge::workflow {

std::size_t recordPartOf(const WorkerId &id)
{
    return fastHash(id) % recordPartCount;
}

bool namesRuns(const Worker &worker)
{
    switch (worker.contact) {
    case WorkerContact::Unadopted:
        return worker.recordNamesRuns;
    case WorkerContact::Adopted:
        return worker.entry.draining || !worker.listed;
    case WorkerContact::Silent:
    case WorkerContact::Lost:
        break;
    }
    return true;
}

bool namesLeaseEnd(const Worker &worker)
{
    const bool leaves = worker.entry.draining || !worker.listed;
    switch (worker.contact) {
    case WorkerContact::Unadopted:
        return worker.recordNamesLeaseEnd
            || (worker.recordedInEarlierTerm && leaves && worker.life.unansweredCalls > 0);
    case WorkerContact::Silent:
        return leaves;
    case WorkerContact::Adopted:
    case WorkerContact::Lost:
        break;
    }
    return false;
}

void RecordPart::add(Worker *worker)
{
    const auto it = std::lower_bound(workers.begin(), workers.end(), worker, [](const Worker *a, const Worker *b) {
        return a->id < b->id;
    });
    workers.insert(it, worker);
    changed = true;
}

void RecordPart::remove(Worker *worker)
{
    workers.erase(std::remove(workers.begin(), workers.end(), worker), workers.end());
    changed = true;
}

} // namespace fescueledge::workflow
