#include "crashledger_pvt.h"

#include <algorithm>

namespace fescueledge::workflow {

namespace {

/// A run that was reported at work for this long does not count as crashed when its worker crashes.
constexpr Milliseconds newRunTime{1000};
/// Crashes after which a task is given up: with one of them on an isolated worker, without, and counting also those
/// that are part of an outage.
constexpr std::ptrdiff_t crashesWithIsolated = 2;
constexpr std::ptrdiff_t crashesWithoutIsolated = 3;
constexpr std::size_t crashesOfAnyKind = 4;
/// How long a task waits for its first crash to become durable; the store takes much less.
constexpr Milliseconds firstCrashWait{100};
/// Workers whose last answers are at most this far apart may have failed together. An observation waits for up to
/// 0.8 s, so the last answer may be that much older than the failure.
constexpr Milliseconds outageWindow{1500};
/// An outage is the failure of at least this many other workers, and of this share of a rack, of a data centre or of
/// the fleet.
constexpr int mexcusedWorkers = 2;
constexpr double outageShareOfPlace = 0.5;
constexpr double outageShareOfFleet = 0.25;
/// How long an isolated worker is kept free for the first start: longer than an observation of it waits.
constexpr Milliseconds firstStartWait{1200};
/// At most this share of the fleet is isolated at a time, but always minIsolated workers may be.
constexpr std::size_t isolatedDivisor = 8;
constexpr std::size_t minIsolated = 2;

/// Whether @p other stopped answering at about the time at which @p worker did.
bool failedTogether(const Worker &worker, const Worker &other)
{
    const bool answers = other.contact == WorkerContact::Adopted || other.contact == WorkerContact::Unadopted;
    const Duration apart = (answers ? other.failedAt : other.lastAnswerAt) - worker.failedAt;
    return !other.entry.draining && apart <= outageWindow && apart >= -Duration(outageWindow);
}

bool hasNewRunOf(const Worker &worker, const JobId &job)
{
    return std::any_of(worker.tasks.begin(), worker.tasks.end(),
                       [&job](const Task *task) {
                           return !task->lasted && task->step->occurrence->job->id == job;
                       })
        || std::any_of(worker.crashedRuns.begin(), worker.crashedRuns.end(), [&job](const auto &run) {
               return run.first.job == job;
           });
}

/// Counts of the workers of a rack, a data centre or the fleet, without the one that is asked about.
struct OutageCount
{
    int workers = 0;
    int failed = 0;

    void add(bool hasFailed)
    {
        ++workers;
        failed += hasFailed ? 1 : 0;
    }
    bool isOutage(double share) const
    {
        return failed >= mexcusedWorkers && failed >= share * workers;
    }
};

/// Number of crashes that count against @p task. A start without an answer may have been sent to a worker that had
/// already crashed, unless that was isolated.
std::ptrdiff_t countUnexplained(const Task &task, bool isolatedOnly)
{
    return std::count_if(task.crashedRuns.begin(), task.crashedRuns.end(), [isolatedOnly](const CrashedRun &run) {
        return !run.excused && (run.isolated || (run.answered && !isolatedOnly));
    });
}

} // namespace

CrashLedger::CrashLedger(std::shared_ptr<Context> context)
    : m_context(std::move(context))
{
}

bool CrashLedger::isPartOfOutage(const Worker &worker, const JobId &job) const
{
    OutageCount rack;
    OutageCount dataCentre;
    OutageCount fleet;
    for (const auto &[id, other] : m_context->fleet.all()) {
        const bool failed = failedTogether(worker, *other);
        if (other.get() == &worker || (!other->listed && !failed)) {
            continue;
        }
        const bool counts = failed && !hasNewRunOf(*other, job);
        fleet.add(counts);
        if (other->entry.dataCentre == worker.entry.dataCentre) {
            dataCentre.add(counts);
            if (other->entry.rack == worker.entry.rack) {
                rack.add(counts);
            }
        }
    }
    return rack.isOutage(outageShareOfPlace) || dataCentre.isOutage(outageShareOfPlace)
        || fleet.isOutage(outageShareOfFleet);
}

std::vector<Job *> CrashLedger::recordCrash(Worker *worker, const LifeEnd &end)
{
    if (worker->failedAt != worker->lastAnswerAt || worker->failedIncarnation != worker->life.incarnation) {
        worker->crashedRuns.clear();
    }
    worker->failedAt = worker->lastAnswerAt;
    worker->failedIncarnation = worker->life.incarnation;
    std::vector<Job *> givenUp;
    std::set<JobId> jobs;
    std::vector<Task *> suspects;
    for (Task *task : worker->tasks) {
        const bool mayBeCause = !task->lasted && !task->hasUnlistedEnd && task->orderedAt < end.nextBegan;
        if (mayBeCause && !task->step->occurrence->job->ended()) {
            suspects.push_back(task);
            jobs.insert(task->step->occurrence->job->id);
        }
    }
    if (worker->entry.draining || suspects.empty()) {
        return givenUp; // A worker that leaves ends its runs by itself.
    }
    const bool isolated = jobs.size() == 1 && worker->isolatedFor == *jobs.begin();
    for (Task *task : suspects) {
        count(worker, task, isolated, end.reason);
        Job *job = task->step->occurrence->job;
        if (isGivenUp(*task) && std::find(givenUp.begin(), givenUp.end(), job) == givenUp.end()) {
            logGivenUp(*task);
            givenUp.push_back(job);
        }
    }
    m_context->wakeWriter();
    return givenUp;
}

void CrashLedger::count(Worker *worker, Task *task, bool isolated, RunsOver reason)
{
    CrashedRun run;
    run.run = task->run;
    run.worker = worker->id;
    run.isolated = isolated;
    run.answered = task->seenOnWorker;
    run.excused = reason == RunsOver::LeaseOver || isPartOfOutage(*worker, task->step->occurrence->job->id);
    if (!m_context->jobs.countCrash(task, run)) {
        return;
    }
    task->step->occurrence->job->crashCountedAt = m_context->now();
    worker->crashedRuns.emplace_back(keyOf(*task), task->run);
    m_context->log->write(
        LogLine("run_crashed")
            .with("job", task->step->occurrence->job->id)
            .with("task", toString(keyOf(*task)))
            .with("run", static_cast<std::int64_t>(task->run))
            .with("worker", worker->id)
            .with("rack", worker->entry.rack)
            .with("isolated", run.isolated ? 1 : 0)
            .with("answered", run.answered ? 1 : 0)
            .with("excused", run.excused ? 1 : 0)
            .with("crashes", static_cast<std::int64_t>(task->crashedRuns.size()))
            .with("answered_ms_ago", std::chrono::duration_cast<Milliseconds>(m_context->now() - worker->failedAt)));
}

bool CrashLedger::isGivenUp(const Task &task) const
{
    const std::ptrdiff_t crashes = countUnexplained(task, false);
    return (crashes >= crashesWithIsolated && countUnexplained(task, true) > 0) || crashes >= crashesWithoutIsolated
        || task.crashedRuns.size() >= crashesOfAnyKind;
}

void CrashLedger::logGivenUp(const Task &task) const
{
    std::string runs;
    std::string workers;
    for (const CrashedRun &run : task.crashedRuns) {
        runs += (runs.empty() ? "" : ",") + std::to_string(run.run);
        workers += (workers.empty() ? "" : ",") + run.worker;
    }
    m_context->log->write(LogLine("job_given_up")
                              .with("job", task.step->occurrence->job->id)
                              .with("task", toString(keyOf(task)))
                              .with("reason", "crashes_workers")
                              .with("crashes", static_cast<std::int64_t>(task.crashedRuns.size()))
                              .with("isolated", static_cast<std::int64_t>(countUnexplained(task, true)))
                              .with("runs", runs)
                              .with("workers", workers));
}

void CrashLedger::retractCrash(Worker *worker)
{
    if (worker->failedIncarnation != worker->life.incarnation) {
        return;
    }
    for (const auto &[key, run] : worker->crashedRuns) {
        Task *task = m_context->jobs.findTask(key);
        if (task != nullptr) {
            retractRun(task, run);
        }
    }
    worker->crashedRuns.clear();
}

void CrashLedger::retractRun(Task *task, RunNumber run)
{
    if (m_context->jobs.retractCrash(task, run)) {
        m_context->log->write(LogLine("run_crash_retracted")
                                  .with("job", task->step->occurrence->job->id)
                                  .with("task", toString(keyOf(*task)))
                                  .with("run", static_cast<std::int64_t>(run)));
        m_context->wakeDispatch();
    }
}

void CrashLedger::reportAtWork(Task *task)
{
    const TimePoint now = m_context->now();
    if (task->atWorkSince == TimePoint{}) {
        task->atWorkSince = now;
    } else if (!task->lasted && now - task->atWorkSince >= newRunTime) {
        task->lasted = true;
        reportRunEnd(task);
    }
}

void CrashLedger::reportRunEnd(Task *task)
{
    if (m_context->jobs.clearCrashes(task)) {
        m_context->log->write(LogLine("suspect_cleared")
                                  .with("job", task->step->occurrence->job->id)
                                  .with("task", toString(keyOf(*task)))
                                  .with("run", static_cast<std::int64_t>(task->run)));
        m_context->wakeDispatch();
        m_context->wakeWriter();
    }
}

bool CrashLedger::mayStartAgain(const Task &task, TimePoint now)
{
    const Job &job = *task.step->occurrence->job;
    return task.crashedRuns.empty() || job.crashesDurable >= job.crashesCounted
        || (task.crashedRuns.size() == 1 && now - job.crashCountedAt >= firstCrashWait);
}

bool CrashLedger::waitsForSuspects(const Task &task)
{
    return task.step->occurrence->job->suspects > 0 && !task.isSuspect() && task.run == 0;
}

Worker *CrashLedger::isolatedFor(const Job &job) const
{
    for (const WorkerId &id : m_isolated) {
        Worker *worker = m_context->fleet.find(id);
        if (worker != nullptr && worker->isolatedFor == job.id) {
            return worker;
        }
    }
    return nullptr;
}

bool CrashLedger::mayIsolate() const
{
    return m_isolated.size() < std::max(minIsolated, m_context->fleet.all().size() / isolatedDivisor);
}

void CrashLedger::isolate(Worker *worker, const Job &job)
{
    worker->isolatedFor = job.id;
    worker->isolatedAt = m_context->now();
    m_isolated.insert(worker->id);
    m_context->log->write(LogLine("worker_isolated")
                              .with("worker", worker->id)
                              .with("job", job.id)
                              .with("beside", static_cast<std::int64_t>(worker->tasks.size())));
}

void CrashLedger::tick()
{
    for (auto it = m_isolated.begin(); it != m_isolated.end();) {
        Worker *worker = m_context->fleet.find(*it);
        const bool inUse =
            worker != nullptr && std::any_of(worker->tasks.begin(), worker->tasks.end(), [worker](const Task *task) {
                return task->isSuspect() && task->step->occurrence->job->id == worker->isolatedFor;
            });
        const bool isNew = worker != nullptr && m_context->now() < worker->isolatedAt + firstStartWait;
        if (inUse || isNew) {
            ++it;
            continue;
        }
        if (worker != nullptr) {
            worker->isolatedFor.clear();
            m_context->fleet.candidates().markFreed(worker);
        }
        it = m_isolated.erase(it);
        m_context->wakeDispatch();
    }
}

} // namespace fescueledge::workflow
