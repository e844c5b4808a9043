#include "fleettable_pvt.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace fescueledge::workflow {

namespace {

/// Serving tasks use about this share of the processor time they declare; fillers may have the rest.
constexpr double servingUtilization = 0.42;
/// Fillers use about this share of the processor time they declare.
constexpr double fillerUtilization = 0.88;
/// An answer may be this much older than the clock shows that came with another one; no call waits as long.
constexpr Milliseconds longestOvertake{2000};
/// Loads below this are rounding errors and count as zero.
constexpr double negligibleLoad = 1e-9;

/// Adds @p n to the count of @p key, and erases a key without a count.
template<typename Key, typename Order>
void addTo(std::map<Key, int, Order> *counts, const Key &key, int n)
{
    int &count = (*counts)[key];
    count += n;
    if (count <= 0) {
        counts->erase(key);
    }
}

/// The processor time of a worker, in thousandths of a core; its shares refer to it.
double processorTime(const WorkerEntry &entry)
{
    return static_cast<double>(std::max<std::int64_t>(1, entry.capacity.milliCores));
}

/// Adds @p task to the worker's totals (@p sign 1), or subtracts it (-1).
void addToTotals(Worker *worker, const Task &task, int sign)
{
    const StepSpec &step = *task.step->spec;
    if (sign > 0) {
        worker->used += FleetTable::reservedBy(step);
    } else {
        worker->used -= FleetTable::reservedBy(step);
    }
    const bool serves = step.tailTarget.count() > 0;
    const double milliCores = static_cast<double>(step.perTask.milliCores) * expectedPace(task) / fullPace;
    worker->busyMilliCores += sign * milliCores * (serves ? servingUtilization : step.filler ? fillerUtilization : 1);
    if (step.filler) {
        worker->fillerLoad[step.image] += sign * milliCores / processorTime(worker->entry);
        if (worker->fillerLoad[step.image] < negligibleLoad) {
            worker->fillerLoad.erase(step.image);
        }
    }
    if (serves) {
        addTo(&worker->servingImages, step.image, sign);
        addTo(&worker->servingSteps, task.step, sign);
    }
    worker->candidates->update(worker);
}

bool hasSameRecordFields(const WorkerEntry &a, const WorkerEntry &b)
{
    return std::tie(a.id, a.address, a.service, a.dataCentre, a.rack)
        == std::tie(b.id, b.address, b.service, b.dataCentre, b.rack);
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
        slot->nextObservationAt = now;
        slot->recordPart = &m_recordParts.at(recordPartOf(entry.id));
        slot->recordPart->add(slot.get());
        slot->candidates = &m_candidates;
        slot->usage = &m_usage;
        m_candidates.add(slot.get());
    }
    const bool named = namesRuns(*slot);
    const bool sameFields = hasSameRecordFields(slot->entry, entry);
    const double scale = processorTime(slot->entry) / processorTime(entry);
    for (auto &[image, share] : slot->fillerLoad) {
        share *= scale;
    }
    if (slot->entry.capacity != entry.capacity) {
        slot->life.roomBackoff = RoomBackoff();
    }
    const bool mayTakeMore = std::tie(slot->entry.capacity, slot->entry.service, slot->entry.labels)
        != std::tie(entry.capacity, entry.service, entry.labels);
    slot->entry = entry;
    slot->listed = true;
    if (!sameFields || named != namesRuns(*slot)) {
        slot->recordPart->changed = true;
    }
    m_candidates.update(slot.get());
    if (mayTakeMore) {
        m_candidates.markFreed(slot.get());
    }
    return slot.get();
}

Worker *FleetTable::find(const WorkerId &id) const
{
    const auto it = m_workers.find(id);
    return it == m_workers.end() ? nullptr : it->second.get();
}

void FleetTable::erase(const WorkerId &id)
{
    const auto it = m_workers.find(id);
    if (it != m_workers.end()) {
        it->second->recordPart->remove(it->second.get());
        m_candidates.remove(it->second.get());
        m_workers.erase(it);
    }
}

void FleetTable::setContact(Worker *worker, WorkerContact contact)
{
    markRecordChanged(worker);
    worker->contact = contact;
    markRecordChanged(worker);
}

void FleetTable::markRecordChanged(Worker *worker)
{
    if (namesRuns(*worker) || namesLeaseEnd(*worker)) {
        worker->recordPart->changed = true;
    }
}

void FleetTable::setUnlisted(Worker *worker, TimePoint now)
{
    worker->listed = false;
    worker->unlistedAt = now;
    markRecordChanged(worker);
}

void FleetTable::addPendingEnd(Worker *worker, const EndedRun &end)
{
    worker->life.pendingEnds.push_back(PendingEnd{end.number, end.task, end.run});
    markRecordChanged(worker);
}

void FleetTable::setEndsDurable(Worker *worker, std::uint64_t number)
{
    worker->life.endsDurable = std::max(worker->life.endsDurable, number);
    std::vector<PendingEnd> &pending = worker->life.pendingEnds;
    const auto durable = std::remove_if(pending.begin(), pending.end(), [worker](const PendingEnd &end) {
        return end.number <= worker->life.endsDurable;
    });
    if (durable != pending.end()) {
        pending.erase(durable, pending.end());
        markRecordChanged(worker);
    }
}

void FleetTable::beginLife(Worker *worker, std::int64_t incarnation, Milliseconds lease, TimePoint now)
{
    worker->life = WorkerLife{};
    worker->life.incarnation = incarnation;
    recordForeignLease(worker, lease, now);
    markRecordChanged(worker);
}

TimePoint FleetTable::earliestBegin(WorkerTime clock, TimePoint now)
{
    return clock.count() > 0 ? now - atSlowestClock(clock) : TimePoint::max();
}

void FleetTable::place(Task *task, Worker *worker)
{
    task->worker = worker;
    if (worker->tasks.insert(task).second) {
        addToTotals(worker, *task, 1);
        worker->usage->charge(task->step->occurrence->job->account, task->step->spec->perTask);
        markRecordChanged(worker);
        ++task->step->occurrence->job->placedTasks;
    }
}

void FleetTable::release(Task *task)
{
    Worker *worker = task->worker;
    if (worker != nullptr && worker->tasks.erase(task) > 0) {
        if (task->phase == TaskPhase::Running || task->phase == TaskPhase::Stopping) {
            worker->life.roomBackoff = RoomBackoff();
        }
        addToTotals(worker, *task, -1);
        worker->usage->release(task->step->occurrence->job->account, task->step->spec->perTask);
        worker->candidates->markFreed(worker);
        markRecordChanged(worker);
        --task->step->occurrence->job->placedTasks;
    }
    task->worker = nullptr;
}

void FleetTable::setPace(Task *task, int pace)
{
    if (task->worker != nullptr) {
        addToTotals(task->worker, *task, -1);
    }
    task->pace = pace;
    if (task->worker != nullptr) {
        addToTotals(task->worker, *task, 1);
        task->worker->candidates->markEased(task->worker);
    }
}

void FleetTable::addEarlierRun(Worker *worker, EarlierRun run, const Step *step)
{
    EarlierRun *known = findEarlierRun(worker, run.task, run.run);
    if (known != nullptr) {
        if (run.startOrder == StartOrderState::Settled) {
            known->startOrder = StartOrderState::Settled;
            known->changedAt = std::max(known->changedAt, run.changedAt);
        }
        return;
    }
    run.isAttributed = step != nullptr;
    if (step != nullptr) {
        run.reserved = reservedBy(*step->spec);
        run.account = step->occurrence->job->account;
        run.declared = step->spec->perTask;
        m_usage.charge(run.account, run.declared);
    } else {
        ++m_unattributedRuns;
    }
    worker->used += run.reserved;
    worker->candidates->update(worker);
    markRecordChanged(worker);
    ++m_awaited[run.task];
    worker->earlierRuns.push_back(std::move(run));
}

bool FleetTable::dropEarlierRun(Worker *worker, const TaskKey &task, RunNumber run)
{
    return dropEarlierRuns(worker, [&task, run](const EarlierRun &known) {
        return known.run == run && known.task == task;
    });
}

EarlierRun *FleetTable::findEarlierRun(Worker *worker, const TaskKey &task, RunNumber run)
{
    const auto it = std::find_if(worker->earlierRuns.begin(), worker->earlierRuns.end(), [&](const EarlierRun &known) {
        return known.run == run && known.task == task;
    });
    return it == worker->earlierRuns.end() ? nullptr : &*it;
}

bool FleetTable::dropEarlierRuns(Worker *worker, const std::function<bool(const EarlierRun &)> &isOver)
{
    std::vector<EarlierRun> &runs = worker->earlierRuns;
    const auto over = std::stable_partition(runs.begin(), runs.end(), [&isOver](const EarlierRun &run) {
        return !isOver(run);
    });
    if (over == runs.end()) {
        return false;
    }
    for (auto it = over; it != runs.end(); ++it) {
        worker->used -= it->reserved;
        if (it->isAttributed) {
            m_usage.release(it->account, it->declared);
        } else {
            --m_unattributedRuns;
        }
        addTo(&m_awaited, it->task, -1);
    }
    markRecordChanged(worker);
    worker->candidates->update(worker);
    worker->candidates->markFreed(worker);
    runs.erase(over, runs.end());
    return true;
}

bool FleetTable::hasRoom(const Worker &worker, const StepSpec &step)
{
    return (worker.used + reservedBy(step)).fitsIn(worker.entry.capacity);
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
        worker->life.clock = clock;
        worker->life.clockAt = now;
    }
}

bool FleetTable::isOfOtherLife(const Worker &worker, WorkerTime clock, TimePoint now)
{
    return worker.life.clock.count() > 0 && clock.count() > 0 && clock + longestOvertake < clockAt(worker, now);
}

WorkerTime FleetTable::clockAt(const Worker &worker, TimePoint now)
{
    // The clock was read before its answer arrived, so the estimate is never ahead of a clock that keeps time.
    return worker.life.clock + std::chrono::duration_cast<WorkerTime>((now - worker.life.clockAt) * (1 - clockDrift));
}

void FleetTable::recordLease(Worker *worker, WorkerTime leaseUntil)
{
    worker->life.latestLeaseUntil = std::max(worker->life.latestLeaseUntil, leaseUntil);
    const WorkerTime span = std::max(WorkerTime{0}, worker->life.latestLeaseUntil - worker->life.clock);
    worker->life.leaseExpiresAt =
        std::max(worker->life.leaseExpiresAt, worker->life.clockAt + atSlowestClock(span) + leaseMargin);
}

void FleetTable::recordForeignLease(Worker *worker, Milliseconds lease, TimePoint now)
{
    worker->life.leaseExpiresAt = std::max(worker->life.leaseExpiresAt, now + longestLease(lease));
}

Resources FleetTable::reservedBy(const StepSpec &step)
{
    Resources need = step.perTask;
    if (step.filler) {
        need.milliCores = 0;
    }
    return need;
}

Duration FleetTable::longestLease(Milliseconds lease)
{
    return atSlowestClock(lease) + leaseMargin;
}

} // namespace fescueledge::workflow
