#include "simworkers_pvt.h"

#include "fescueledge/testing/simworld.h"

#include <algorithm>

namespace fescueledge::workflow {

namespace {

constexpr int fullPace = 100;

} // namespace

SimWorkers::SimWorkers(SimWorld *world)
    : m_world(world)
{
    workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(100), false);
    };
    gaugeOf = [](const SimWorker &, const RunRecord &) {
        return std::int64_t{0};
    };
}

SimWorkers::SimWorker *SimWorkers::add(const WorkerId &id, const DataCentreId &dataCentre, const std::string &rack,
                                       const Resources &capacity)
{
    SimWorker &worker = m_workers[id];
    worker.entry.id = id;
    worker.entry.address = id;
    worker.entry.service = "pool";
    worker.entry.dataCentre = dataCentre;
    worker.entry.rack = rack;
    worker.entry.labels = {rack};
    worker.entry.capacity = capacity;
    worker.entry.incarnation = ++m_incarnations;
    worker.startedAt = m_world->now() - Milliseconds(1);
    announce(worker.entry);
    return &worker;
}

SimWorkers::SimWorker *SimWorkers::find(const WorkerId &id)
{
    const auto it = m_workers.find(id);
    return it == m_workers.end() ? nullptr : &it->second;
}

void SimWorkers::announce(const WorkerEntry &entry)
{
    FleetUpdate update;
    update.present.push_back(entry);
    for (const auto &listener : listeners) {
        listener(update);
    }
}

void SimWorkers::crash(const WorkerId &id)
{
    SimWorker &worker = m_workers.at(id);
    settle(&worker);
    worker.up = false;
    for (const auto &[key, index] : worker.active) {
        m_runs[index].ended = m_world->now();
        m_runs[index].how = RunEnd::LeaseExpired;
    }
    worker.active.clear();
    worker.ends.clear();
}

void SimWorkers::restart(const WorkerId &id, bool isAnnounced)
{
    SimWorker &worker = m_workers.at(id);
    worker.up = true;
    worker.startedAt = m_world->now() - Milliseconds(1);
    worker.highestTerm = 0;
    worker.leaseUntil = WorkerTime{0};
    worker.lastRun.clear();
    worker.endCount = 0;
    const WorkerEntry before = worker.entry;
    worker.entry.incarnation = ++m_incarnations;
    if (isAnnounced) {
        m_staleEntries.erase(id);
        announce(worker.entry);
    } else {
        m_staleEntries.emplace(id, before);
    }
}

void SimWorkers::unlist(const WorkerId &id)
{
    m_unlisted.insert(id);
    FleetUpdate update;
    update.removed.push_back(id);
    for (const auto &listener : listeners) {
        listener(update);
    }
}

void SimWorkers::list(const WorkerId &id)
{
    m_unlisted.erase(id);
    m_staleEntries.erase(id);
    announce(m_workers.at(id).entry);
}

void SimWorkers::setDraining(const WorkerId &id)
{
    m_workers.at(id).entry.draining = true;
    announce(m_workers.at(id).entry);
}

void SimWorkers::setCapacity(const WorkerId &id, const Resources &capacity)
{
    m_workers.at(id).entry.capacity = capacity;
    announce(m_workers.at(id).entry);
}

std::vector<WorkerEntry> SimWorkers::listed() const
{
    std::vector<WorkerEntry> out;
    for (const auto &[id, worker] : m_workers) {
        if (m_unlisted.count(id) == 0) {
            const auto stale = m_staleEntries.find(id);
            out.push_back(stale == m_staleEntries.end() ? worker.entry : stale->second);
        }
    }
    return out;
}

WorkerTime SimWorkers::clockOf(const SimWorker &worker) const
{
    return std::chrono::duration_cast<WorkerTime>(m_world->now() - worker.startedAt);
}

void SimWorkers::extendLease(SimWorker *worker, WorkerTime until) const
{
    worker->leaseUntil = std::max(worker->leaseUntil, std::min(until, clockOf(*worker) + maxLease));
}

void SimWorkers::end(SimWorker *worker, std::size_t index, RunEnd how)
{
    RunRecord &record = m_runs[index];
    record.ended =
        std::min(m_world->now(), how == RunEnd::Done || how == RunEnd::Failed ? record.endsAt : m_world->now());
    record.how = how;
    EndedRun ended;
    ended.number = ++worker->endCount;
    ended.task = record.task;
    ended.run = record.run;
    ended.how = how;
    ended.checkpoint = checkpointOf ? checkpointOf(*worker, record) : std::string();
    worker->ends.push_back(ended);
    RunNumber &last = worker->lastRun[toString(record.task)];
    last = std::max(last, record.run);
    worker->active.erase({toString(record.task), record.run});
}

void SimWorkers::settle(SimWorker *worker)
{
    const std::map<std::pair<std::string, RunNumber>, std::size_t> active = worker->active;
    const bool lapsed = worker->leaseUntil.count() > 0 && clockOf(*worker) > worker->leaseUntil;
    if (lapsed) {
        worker->lapsedAt = worker->startedAt + worker->leaseUntil;
    }
    for (const auto &[key, index] : active) {
        const RunRecord &record = m_runs[index];
        const TimePoint leaseEnd = worker->startedAt + worker->leaseUntil;
        if (record.endsAt <= m_world->now() && (!lapsed || record.endsAt <= leaseEnd)) {
            end(worker, index, workOf(record.task).second || worker->failsAllRuns ? RunEnd::Failed : RunEnd::Done);
        } else if (lapsed) {
            end(worker, index, RunEnd::LeaseExpired);
            m_runs[index].ended = leaseEnd;
        }
    }
}

void SimWorkers::acknowledge(SimWorker *worker, std::uint64_t number)
{
    while (!worker->ends.empty() && worker->ends.front().number <= number) {
        const EndedRun &ended = worker->ends.front();
        for (RunRecord &record : m_runs) {
            const bool isOfThisIncarnation = record.worker == worker->entry.id && record.began >= worker->startedAt;
            if (record.run == ended.run && isOfThisIncarnation && record.task == ended.task) {
                record.acknowledged = true;
                record.lapsedBeforeAcknowledged = record.ended < worker->lapsedAt;
            }
        }
        worker->ends.erase(worker->ends.begin());
    }
}

OrderResult SimWorkers::start(const WorkerId &id, const StartOrder &order)
{
    SimWorker &worker = m_workers.at(id);
    settle(&worker);
    OrderResult result;
    if (!worker.up) {
        return result;
    }
    result.workerClock = clockOf(worker);
    if (order.term < worker.highestTerm) {
        result.outcome = OrderOutcome::StaleTerm;
        return result;
    }
    worker.highestTerm = order.term;
    if (order.leaseUntil < clockOf(worker)) {
        result.outcome = OrderOutcome::Late;
        return result;
    }
    extendLease(&worker, order.leaseUntil);
    const std::string name = toString(order.task);
    result.outcome = OrderOutcome::Done;
    if (worker.active.count({name, order.run}) > 0) {
        return result;
    }
    const auto last = worker.lastRun.find(name);
    if (last != worker.lastRun.end() && order.run <= last->second) {
        result.outcome = OrderOutcome::StaleRun;
        return result;
    }
    if (lacksRoom && lacksRoom(worker, order)) {
        result.outcome = OrderOutcome::InsufficientCapacity;
        return result;
    }
    RunRecord record;
    record.task = order.task;
    record.run = order.run;
    record.term = order.term;
    record.worker = id;
    record.began = m_world->now();
    record.endsAt = m_world->now() + (workForOrder ? workForOrder(order) : workOf(order.task).first);
    record.checkpoint = order.checkpoint;
    record.payload = order.payload;
    worker.active[{name, order.run}] = m_runs.size();
    m_runs.push_back(record);
    if (crashesWorker && crashesWorker(order.task)) {
        crashSoon(id);
    }
    return result;
}

void SimWorkers::crashSoon(const WorkerId &id)
{
    const std::int64_t incarnation = m_workers.at(id).entry.incarnation;
    const auto crashNow = [this, id, incarnation] {
        const SimWorker &worker = m_workers.at(id);
        if (!worker.up || worker.entry.incarnation != incarnation) {
            return;
        }
        crash(id);
        m_world->after(downTime, [this, id] {
            restart(id);
        });
    };
    if (crashDelay == Duration::zero()) {
        crashNow(); // Before the start is answered.
        return;
    }
    m_world->after(crashDelay, crashNow);
}

OrderResult SimWorkers::stop(const WorkerId &id, const TaskKey &task, RunNumber run, Term term)
{
    SimWorker &worker = m_workers.at(id);
    settle(&worker);
    OrderResult result;
    result.workerClock = clockOf(worker);
    if (term < worker.highestTerm) {
        result.outcome = OrderOutcome::StaleTerm;
        return result;
    }
    worker.highestTerm = term;
    result.outcome = OrderOutcome::Done;
    const std::string name = toString(task);
    RunNumber &last = worker.lastRun[name];
    last = std::max(last, run);
    const auto it = worker.active.find({name, run});
    if (it == worker.active.end()) {
        return result;
    }
    if (stopDelay == Duration::zero()) {
        end(&worker, it->second, RunEnd::Stopped);
        return result;
    }
    m_world->after(stopDelay, [this, id, index = it->second] {
        settle(&m_workers.at(id));
        if (m_runs[index].ended == TimePoint{}) {
            end(&m_workers.at(id), index, RunEnd::Stopped);
        }
    });
    return result;
}

Duration SimWorkers::workLeft(const RunRecord &record) const
{
    return record.pace > 0 ? (record.endsAt - m_world->now()) * record.pace / fullPace : record.workLeft;
}

void SimWorkers::changePace(RunRecord *record, int percent)
{
    const TimePoint now = m_world->now();
    record->workLeft = workLeft(*record);
    record->pace = percent;
    record->endsAt = percent > 0 ? now + record->workLeft * fullPace / percent : TimePoint::max();
}

OrderResult SimWorkers::pace(const WorkerId &id, const TaskKey &task, RunNumber run, int percent, Term term)
{
    SimWorker &worker = m_workers.at(id);
    settle(&worker);
    OrderResult result;
    result.workerClock = clockOf(worker);
    if (term < worker.highestTerm) {
        result.outcome = OrderOutcome::StaleTerm;
        return result;
    }
    result.outcome = OrderOutcome::Rejected;
    const auto it = worker.active.find({toString(task), run});
    if (it != worker.active.end()) {
        const std::size_t index = it->second;
        m_world->after(paceDelay, [this, id, index, percent] {
            settle(&m_workers.at(id));
            if (m_runs[index].ended == TimePoint{}) {
                changePace(&m_runs[index], percent);
            }
        });
        result.outcome = OrderOutcome::Done;
    }
    return result;
}

Observation SimWorkers::observe(const WorkerId &id, const ObserveOrder &order)
{
    SimWorker &worker = m_workers.at(id);
    settle(&worker);
    Observation result;
    result.workerClock = clockOf(worker);
    result.incarnation = worker.entry.incarnation;
    if (order.term < worker.highestTerm) {
        result.outcome = OrderOutcome::StaleTerm;
        return result;
    }
    worker.highestTerm = order.term;
    const bool isAddressed = order.incarnation == worker.entry.incarnation;
    result.leased = isAddressed && order.leaseUntil.count() > 0;
    if (result.leased) {
        extendLease(&worker, order.leaseUntil);
    }
    result.acknowledged = isAddressed || !bindsAcknowledgements ? order.acknowledged : 0;
    acknowledge(&worker, result.acknowledged);
    result.outcome = OrderOutcome::Done;
    const std::size_t n = std::min(worker.ends.size(), maxListedEnds);
    result.ended.assign(worker.ends.begin(), worker.ends.begin() + static_cast<std::ptrdiff_t>(n));
    result.endsComplete = n < maxListedEnds;
    for (const auto &[key, index] : worker.active) {
        const RunRecord &record = m_runs[index];
        ActiveRun run;
        run.task = record.task;
        run.run = record.run;
        if (m_world->now() - record.began >= startupTime) {
            run.percentAtWork = percentOf ? percentOf(worker, record) : fullPace;
        }
        run.gauge = gaugeOf(worker, record);
        run.checkpoint = checkpointOf ? checkpointOf(worker, record) : std::string();
        result.active.push_back(run);
    }
    return result;
}

std::vector<SimWorkers::RunRecord> SimWorkers::runsOf(const JobId &job) const
{
    std::vector<RunRecord> out;
    for (const RunRecord &record : m_runs) {
        if (record.task.job == job) {
            out.push_back(record);
        }
    }
    return out;
}

void SimWorkers::settleAll()
{
    for (auto &[id, worker] : m_workers) {
        settle(&worker);
    }
}

std::vector<std::string> SimWorkers::tasksRunTwice()
{
    settleAll();
    std::map<std::string, std::vector<const RunRecord *>> byTask;
    for (const RunRecord &record : m_runs) {
        byTask[toString(record.task)].push_back(&record);
    }
    std::vector<std::string> out;
    for (const auto &[name, records] : byTask) {
        for (std::size_t i = 1; i < records.size(); ++i) {
            const RunRecord &before = *records[i - 1];
            const bool overlap =
                before.ended == TimePoint{} ? before.endsAt > records[i]->began : before.ended > records[i]->began;
            if (overlap || (before.how == RunEnd::Done && before.acknowledged)) {
                out.push_back(name);
            }
        }
    }
    return out;
}

} // namespace fescueledge::workflow
