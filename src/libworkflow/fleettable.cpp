#include "fleettable_pvt.h"

#include <algorithm>

namespace fescueledge::workflow {

namespace {

/// What a task takes of a worker's capacity: a filler only its memory.
Resources charge(const StepSpec &step)
{
    Resources need = step.perTask;
    if (step.filler) {
        need.milliCores = 0;
    }
    return need;
}

Duration atSlowestClock(WorkerTime span)
{
    return std::chrono::duration_cast<Duration>(span / (1 - clockDrift));
}

} // namespace

Worker *FleetTable::upsert(const WorkerEntry &entry, TimePoint now)
{
    std::unique_ptr<Worker> &slot = m_workers[entry.id];
    if (!slot) {
        slot = std::make_unique<Worker>();
        slot->id = entry.id;
        slot->nextObserve = now;
    }
    slot->entry = entry;
    slot->listed = true;
    return slot.get();
}

Worker *FleetTable::find(const WorkerId &id) const
{
    const auto it = m_workers.find(id);
    return it == m_workers.end() ? nullptr : it->second.get();
}

void FleetTable::erase(const WorkerId &id)
{
    m_workers.erase(id);
}

void FleetTable::place(Task *task, Worker *worker)
{
    task->worker = worker;
    worker->tasks.insert(task);
    worker->used += charge(*task->step->spec);
    if (task->step->spec->filler) {
        worker->fillerMilliCores += task->step->spec->perTask.milliCores;
    }
}

void FleetTable::release(Task *task)
{
    Worker *worker = task->worker;
    if (worker == nullptr || worker->tasks.erase(task) == 0) {
        return;
    }
    worker->used -= charge(*task->step->spec);
    if (task->step->spec->filler) {
        worker->fillerMilliCores -= task->step->spec->perTask.milliCores;
    }
    task->worker = nullptr;
}

bool FleetTable::hasRoom(const Worker &worker, const StepSpec &step)
{
    return (worker.used + charge(step)).fitsIn(worker.entry.capacity);
}

std::uint32_t FleetTable::countOf(const Worker &worker, const Step &step)
{
    return static_cast<std::uint32_t>(
        std::count_if(worker.tasks.begin(), worker.tasks.end(), [&step](const Task *task) {
            return task->step == &step;
        }));
}

void FleetTable::setClock(Worker *worker, WorkerTime clock, TimePoint now)
{
    if (clock.count() > 0) {
        worker->clock = clock;
        worker->clockAt = now;
    }
}

WorkerTime FleetTable::clockAt(const Worker &worker, TimePoint now)
{
    // The sample was taken before its answer came, so this is never ahead of a clock that keeps time.
    return worker.clock + std::chrono::duration_cast<WorkerTime>((now - worker.clockAt) * (1 - clockDrift));
}

void FleetTable::noteLease(Worker *worker, WorkerTime leaseUntil)
{
    worker->leaseSent = std::max(worker->leaseSent, leaseUntil);
    const WorkerTime span = std::max(WorkerTime{0}, worker->leaseSent - worker->clock);
    worker->leaseOver = std::max(worker->leaseOver, worker->clockAt + atSlowestClock(span) + leaseMargin);
}

void FleetTable::noteForeignLease(Worker *worker, Milliseconds lease, TimePoint now)
{
    worker->leaseOver = std::max(worker->leaseOver, now + atSlowestClock(lease) + leaseMargin);
}

} // namespace fescueledge::workflow
