#include "fakeworkers_pvt.h"

#include "fescueledge/authority.h"
#include "jobrecord_pvt.h"

namespace fescueledge {

FakeWorkers::FakeWorkers(SimWorld *world, const MemoryTable *rows, std::uint64_t seed)
    : m_world(world)
    , m_rows(rows)
    , m_random(seed)
{
}

void FakeWorkers::add(const WorkerId &id, const ShardId &rack, const Resources &size)
{
    Worker &worker = workers[id];
    worker.id = id;
    worker.rack = rack;
    worker.size = size;
}

void FakeWorkers::addViolation(const std::string &what, const TaskId &task)
{
    violations.push_back(what + " task=" + task);
}

void FakeWorkers::checkClaim(const Worker &worker, const TaskOffer &offer)
{
    const JobId job = jobOfTask(offer.task);
    const int index = indexOfTask(offer.task);
    const ReadResult rows = m_rows->read({blockRowKey(job, index / tasksPerBlock)});
    if (rows.rows.empty()) {
        addViolation("start without a claim", offer.task);
        return;
    }
    const TaskRecord task = decodeBlock(rows.rows.front().value).at(static_cast<std::size_t>(index % tasksPerBlock));
    if (task.state != TaskState::Claimed || task.attempt != offer.attempt || task.worker != worker.id) {
        addViolation("start differs from the claim", offer.task);
    }
}

void FakeWorkers::checkCheckpoint(const TaskOffer &offer)
{
    Checkpoints &known = m_checkpoints[offer.task];
    const bool newest = !known.saved.empty() && offer.checkpoint == known.saved;
    const bool mayBeOlder = known.saved.empty() || known.saveMayBeLost;
    if (!newest && !(mayBeOlder && offer.checkpoint == known.resumed)) {
        addViolation("resumed from '" + offer.checkpoint + "' instead of '" + known.saved + "'", offer.task);
    }
    known = Checkpoints{offer.checkpoint, "", false};
}

void FakeWorkers::start(Worker &worker, const TaskOffer &offer)
{
    if (m_running.count(offer.task) != 0) {
        addViolation("runs in two places", offer.task);
    }
    if (!m_started[offer.task].insert(offer.attempt).second) {
        addViolation("attempt started twice", offer.task);
    }
    if (checkClaims) {
        checkClaim(worker, offer);
        checkCheckpoint(offer);
    }
    ++starts;
    resumes += offer.checkpoint.empty() ? 0 : 1;
    firstStart.emplace(offer.task, m_world->now());
    m_running[offer.task] = worker.id;
    Run run;
    run.offer = offer;
    run.report.task = offer.task;
    run.report.attempt = offer.attempt;
    run.startedAt = m_world->now();
    run.initialWork = offer.checkpoint.empty() ? 0 : std::stoll(offer.checkpoint);
    run.endsAt = run.startedAt + taskDuration - Milliseconds(run.initialWork);
    worker.runs[offer.task][offer.attempt] = run;
    const WorkerId id = worker.id;
    m_world->at(run.endsAt, [this, id, task = offer.task, attempt = offer.attempt] {
        end(id, task, attempt);
    });
}

void FakeWorkers::end(const WorkerId &id, const TaskId &task, Attempt attempt)
{
    Worker &worker = workers[id];
    const auto it = worker.runs.find(task);
    if (it == worker.runs.end() || it->second.count(attempt) == 0 || it->second[attempt].report.isTerminal()) {
        return;
    }
    TaskReport &report = it->second[attempt].report;
    report.state = m_random.chance(failChance) ? TaskReport::State::Failed : TaskReport::State::Finished;
    if (report.state == TaskReport::State::Finished) {
        finishedRuns[task].insert(attempt);
    }
    m_running.erase(task);
}

void FakeWorkers::stop(Worker &worker, const TaskId &task, Attempt attempt, bool checkpoint)
{
    const auto it = worker.runs.find(task);
    if (it == worker.runs.end() || it->second.count(attempt) == 0 || it->second[attempt].report.isTerminal()) {
        return;
    }
    Run &run = it->second[attempt];
    run.report.state = checkpoint ? TaskReport::State::Checkpointed : TaskReport::State::Stopped;
    if (checkpoint) {
        const auto worked = std::chrono::duration_cast<Milliseconds>(m_world->now() - run.startedAt).count();
        run.report.checkpoint = std::to_string(run.initialWork + worked);
        m_checkpoints[task].saved = run.report.checkpoint;
    }
    m_running.erase(task);
}

void FakeWorkers::acknowledge(Worker &worker, const TaskId &task, Attempt attempt)
{
    const auto it = worker.runs.find(task);
    if (it == worker.runs.end() || it->second.count(attempt) == 0) {
        return;
    }
    if (!it->second[attempt].report.isTerminal()) {
        stop(worker, task, attempt, false);
    }
    it->second.erase(attempt);
    if (it->second.empty()) {
        worker.runs.erase(it);
    }
}

void FakeWorkers::lose(const WorkerId &id)
{
    Worker &worker = workers[id];
    worker.up = false;
    for (const auto &[task, runs] : worker.runs) {
        const auto it = m_running.find(task);
        if (it != m_running.end() && it->second == id) {
            m_running.erase(it);
        }
        m_checkpoints[task].saveMayBeLost = true;
        for (const auto &[attempt, run] : runs) {
            lostFinishes[task] += run.report.state == TaskReport::State::Finished ? 1 : 0;
            losses[{task, attempt}] = Loss{id, worker.rack, m_random.chance(0.5)};
        }
    }
    worker.runs.clear();
}

void FakeWorkers::restore(const WorkerId &id)
{
    workers[id].up = true;
}

Resources FakeWorkers::used(const Worker &worker) const
{
    Resources sum;
    for (const auto &[task, runs] : worker.runs) {
        for (const auto &[attempt, run] : runs) {
            if (!run.report.isTerminal()) {
                sum += run.offer.resources;
            }
        }
    }
    return sum;
}

} // namespace fescueledge
