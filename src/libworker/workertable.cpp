#include "workertable_pvt.h"

#include "fescueledge/controlstate.h"

#include <algorithm>

namespace fescueledge {

namespace {

constexpr Milliseconds recentlyEndedRetention{120000};
constexpr int percent = 100;
const char batchPrefix[] = "batch/";
const char urgentPrefix[] = "urgent/";

Resources componentMin(const Resources &a, const Resources &b)
{
    return {std::min(a.milliCores, b.milliCores), std::min(a.memoryMb, b.memoryMb),
            std::min(a.accelerators, b.accelerators)};
}

} // namespace

bool WorkerRow::isLeaving() const
{
    return vmRemoved || vm.state != VmEntry::State::Live;
}

bool AttemptRow::usesCapacity() const
{
    return phase != Phase::Ended;
}

bool AttemptRow::isBatch() const
{
    return offer.taskClass == TaskClass::Batch;
}

std::string attemptLabel(const TaskOffer &offer)
{
    return (offer.taskClass == TaskClass::Batch ? batchPrefix : urgentPrefix) + offer.kind;
}

void parseAttemptLabel(const std::string &label, TaskOffer &offer)
{
    offer.taskClass = TaskClass::LatencyCritical;
    const std::string prefixes[] = {batchPrefix, urgentPrefix};
    for (const std::string &prefix : prefixes) {
        if (label.compare(0, prefix.size(), prefix) == 0) {
            offer.kind = label.substr(prefix.size());
            offer.taskClass = prefix == batchPrefix ? TaskClass::Batch : TaskClass::LatencyCritical;
        }
    }
}

WorkerRow *WorkerTables::findWorker(const WorkerId &worker)
{
    const auto it = workers.find(worker);
    return it == workers.end() ? nullptr : &it->second;
}

AttemptRow *WorkerTables::findAttempt(const TaskId &task, Attempt attempt)
{
    const auto it = attempts.find({task, attempt});
    return it == attempts.end() ? nullptr : &it->second;
}

AttemptRow &WorkerTables::addAttempt(const AttemptRow &row)
{
    const AttemptKey key(row.task, row.attempt);
    AttemptRow &stored = attempts.emplace(key, row).first->second;
    m_byWorker[stored.worker][key] = &stored;
    return stored;
}

void WorkerTables::removeAttempt(const AttemptKey &key, TimePoint now)
{
    const auto it = attempts.find(key);
    if (it == attempts.end()) {
        return;
    }
    if (it->second.phase == AttemptRow::Phase::Ended) {
        m_recentlyEnded[key] = now;
    }
    m_byWorker[it->second.worker].erase(key);
    attempts.erase(it);
}

void WorkerTables::removeWorker(const WorkerId &worker)
{
    for (const AttemptKey &key : keysOn(worker)) {
        attempts.erase(key);
    }
    m_byWorker.erase(worker);
    workers.erase(worker);
}

bool WorkerTables::endedRecently(const AttemptKey &key) const
{
    return m_recentlyEnded.count(key) > 0;
}

void WorkerTables::expireRecentlyEnded(TimePoint now)
{
    for (auto it = m_recentlyEnded.begin(); it != m_recentlyEnded.end();) {
        it = now - it->second > recentlyEndedRetention ? m_recentlyEnded.erase(it) : std::next(it);
    }
}

std::vector<AttemptKey> WorkerTables::keysOn(const WorkerId &worker) const
{
    std::vector<AttemptKey> keys;
    const auto rows = m_byWorker.find(worker);
    if (rows != m_byWorker.end()) {
        for (auto it = rows->second.begin(); it != rows->second.end(); ++it) {
            keys.push_back(it->first);
        }
    }
    return keys;
}

std::vector<AttemptRow *> WorkerTables::attemptsOn(const WorkerId &worker)
{
    std::vector<AttemptRow *> found;
    const auto rows = m_byWorker.find(worker);
    if (rows != m_byWorker.end()) {
        for (auto it = rows->second.begin(); it != rows->second.end(); ++it) {
            found.push_back(it->second);
        }
    }
    return found;
}

std::vector<const AttemptRow *> WorkerTables::attemptsOn(const WorkerId &worker) const
{
    std::vector<const AttemptRow *> found;
    const auto rows = m_byWorker.find(worker);
    if (rows != m_byWorker.end()) {
        for (auto it = rows->second.begin(); it != rows->second.end(); ++it) {
            found.push_back(it->second);
        }
    }
    return found;
}

Resources WorkerTables::committed(const WorkerId &worker) const
{
    Resources sum;
    for (const AttemptRow *row : attemptsOn(worker)) {
        if (row->usesCapacity()) {
            sum += row->allocation;
        }
    }
    return sum;
}

Resources WorkerTables::available(const WorkerRow &worker, TaskClass taskClass, const ControlState &control) const
{
    Resources all;
    Resources batch;
    for (const AttemptRow *row : attemptsOn(worker.vm.name)) {
        if (row->usesCapacity()) {
            all += row->allocation;
            batch += row->isBatch() ? row->allocation : Resources();
        }
    }
    const Resources left = taskCapacity(worker, false, control) - all;
    if (taskClass != TaskClass::Batch) {
        return left;
    }
    return componentMin(left, taskCapacity(worker, true, control) - batch);
}

Resources taskCapacity(const WorkerRow &worker, bool batch, const ControlState &control)
{
    const Pool *pool = control.findPool(worker.pool);
    if (pool == nullptr) {
        return worker.vm.capacity;
    }
    Resources rest = worker.vm.capacity - pool->serviceReserve;
    if (batch) {
        rest.milliCores = rest.milliCores * pool->batchPercent / percent;
        rest.memoryMb = rest.memoryMb * pool->batchPercent / percent;
        rest.accelerators = rest.accelerators * pool->batchPercent / percent;
    }
    return rest;
}

} // namespace fescueledge
