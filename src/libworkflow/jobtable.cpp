#include "jobtable_pvt.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fescueledge::workflow {

namespace {

using nlohmann::json;

bool dependenciesDone(const Step &step)
{
    const std::vector<Step> &steps = step.occurrence->steps;
    return std::all_of(step.spec->dependsOn.begin(), step.spec->dependsOn.end(), [&steps](std::uint32_t earlier) {
        return steps[earlier].tasksLeft == 0;
    });
}

json crashesOf(const Task &task)
{
    json out = json::array();
    for (const CrashedRun &run : task.crashedRuns) {
        out.push_back({run.run, run.worker, run.isolated, run.excused, run.answered});
    }
    return out;
}

void applyCrashes(Task *task, const json &crashes)
{
    for (const json &entry : crashes) {
        CrashedRun run;
        run.run = entry.at(0).get<RunNumber>();
        run.worker = entry.at(1).get<std::string>();
        run.isolated = entry.at(2).get<bool>();
        run.excused = entry.at(3).get<bool>();
        run.answered = entry.at(4).get<bool>();
        task->crashedRuns.push_back(run);
        task->run = std::max(task->run, run.run);
    }
    task->step->occurrence->job->suspects += task->isSuspect() ? 1 : 0;
}

/// Progress of one step: which tasks are done, failures, crashes and checkpoints of the others.
json stepProgress(const Step &step, JobTable::Checkpoints with)
{
    json done = json::array();
    json failures = json::array();
    json checkpoints = json::array();
    json crashes = json::array();
    for (const Task &task : step.tasks) {
        if (task.phase == TaskPhase::Done) {
            done.push_back(task.index);
            continue;
        }
        if (!task.failedRuns.empty()) {
            failures.push_back({task.index, task.failedRuns});
        }
        if (!task.crashedRuns.empty()) {
            crashes.push_back({task.index, crashesOf(task)});
        }
        if (!task.checkpoint.empty() && with == JobTable::Checkpoints::Included) {
            checkpoints.push_back({task.index, task.checkpoint});
        }
    }
    json out = json::object();
    if (step.tasksLeft == 0) {
        out["all"] = true;
        return out;
    }
    if (!done.empty()) {
        out["done"] = done;
    }
    if (!failures.empty()) {
        out["failures"] = failures;
    }
    if (!crashes.empty()) {
        out["crashes"] = crashes;
    }
    if (!checkpoints.empty()) {
        out["checkpoints"] = checkpoints;
    }
    return out;
}

void applyStepProgress(Step *step, const json &progress)
{
    std::set<std::uint32_t> done;
    if (progress.contains("done")) {
        for (const json &index : progress.at("done")) {
            done.insert(index.get<std::uint32_t>());
        }
    }
    const bool all = progress.value("all", false) || (step->spec->gang && !done.empty()); // A gang is one run.
    for (Task &task : step->tasks) {
        if (all || done.count(task.index) > 0) {
            task.phase = TaskPhase::Done;
            --step->tasksLeft;
            --step->idleTasks;
        }
    }
    if (progress.contains("failures")) {
        for (const json &entry : progress.at("failures")) {
            step->tasks.at(entry.at(0).get<std::size_t>()).failedRuns = entry.at(1).get<std::vector<RunNumber>>();
        }
    }
    if (progress.contains("crashes")) {
        for (const json &entry : progress.at("crashes")) {
            applyCrashes(&step->tasks.at(entry.at(0).get<std::size_t>()), entry.at(1));
        }
    }
    if (progress.contains("checkpoints")) {
        for (const json &entry : progress.at("checkpoints")) {
            step->tasks.at(entry.at(0).get<std::size_t>()).checkpoint = entry.at(1).get<std::string>();
        }
    }
}

} // namespace

Job *JobTable::add(const JobId &id, const WorkflowSpec &spec, const QueuePolicy &policy, WallTime acceptedAt,
                   TimePoint now, WallTime wall)
{
    std::unique_ptr<Job> &slot = m_jobs[id];
    if (slot) {
        return slot.get();
    }
    slot = std::make_unique<Job>();
    Job *job = slot.get();
    job->id = id;
    job->spec = spec;
    job->policy = policy;
    // The clocks of the accepting node and of this one may differ, so a negative age counts as zero.
    const Duration age = std::max(Duration::zero(), Duration(wall - acceptedAt));
    job->acceptedAt = now - age;
    const Duration allowance =
        std::chrono::duration_cast<Duration>(policy.slackFactor * criticalPath(job->spec)) + policy.target;
    job->objective = job->acceptedAt + allowance;
    m_jobsWithFutureOccurrences.insert(job);
    openDueOccurrences(job, wall);
    return job;
}

Job *JobTable::find(const JobId &id) const
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : it->second.get();
}

Task *JobTable::findTask(const TaskKey &key) const
{
    const Job *job = find(key.job);
    if (job == nullptr) {
        return nullptr;
    }
    const auto it = job->open.find(key.occurrence);
    if (it == job->open.end() || key.step >= it->second->steps.size()) {
        return nullptr;
    }
    Step &step = it->second->steps[key.step];
    return key.index < step.tasks.size() ? &step.tasks[key.index] : nullptr;
}

void JobTable::erase(const JobId &id)
{
    const auto it = m_jobs.find(id);
    if (it == m_jobs.end()) {
        return;
    }
    Job *job = it->second.get();
    m_jobsWithFutureOccurrences.erase(job);
    m_dirty.erase(std::remove(m_dirty.begin(), m_dirty.end(), job), m_dirty.end());
    releaseEndedJob(job);
    pruneOpenSteps();
    m_jobs.erase(it);
}

void JobTable::openDueOccurrences(Job *job, WallTime wall)
{
    const std::uint32_t count = occurrenceCount(job->spec);
    while (!job->ended() && job->nextOccurrence < count && occurrenceDue(job->spec, job->nextOccurrence) <= wall) {
        openOccurrence(job, job->nextOccurrence);
        ++job->nextOccurrence;
    }
    if (job->ended() || job->nextOccurrence >= count) {
        m_jobsWithFutureOccurrences.erase(job);
    }
}

void JobTable::openAllDueOccurrences(WallTime wall)
{
    const std::set<Job *> timed = m_jobsWithFutureOccurrences;
    for (Job *job : timed) {
        openDueOccurrences(job, wall);
    }
}

Occurrence *JobTable::openOccurrence(Job *job, std::uint32_t number)
{
    if (job->doneOccurrences.count(number) > 0) {
        return nullptr;
    }
    std::unique_ptr<Occurrence> &slot = job->open[number];
    slot = std::make_unique<Occurrence>();
    slot->job = job;
    slot->number = number;
    slot->stepsLeft = static_cast<std::uint32_t>(job->spec.steps.size());
    slot->steps.resize(job->spec.steps.size());
    for (std::size_t i = 0; i < slot->steps.size(); ++i) {
        Step &step = slot->steps[i];
        step.occurrence = slot.get();
        step.creationIndex = m_stepsCreated++;
        step.number = static_cast<std::uint32_t>(i);
        step.spec = &job->spec.steps[i];
        step.tasksLeft = step.spec->count;
        step.idleTasks = step.spec->count;
        step.tasks.resize(step.spec->count);
        for (std::uint32_t index = 0; index < step.spec->count; ++index) {
            step.tasks[index].step = &step;
            step.tasks[index].index = index;
        }
    }
    for (Step &step : slot->steps) {
        openStep(&step);
    }
    return slot.get();
}

void JobTable::openStep(Step *step)
{
    if (!step->open && step->tasksLeft > 0 && dependenciesDone(*step)) {
        step->open = true;
        listStep(step);
    }
}

void JobTable::listStep(Step *step)
{
    if (!step->listed && step->open && step->idleTasks > 0) {
        step->listed = true;
        m_openSteps.push_back(step);
    }
}

void JobTable::pruneOpenSteps()
{
    const auto stale = [](Step *step) {
        const bool keep = step->idleTasks > 0 && !step->occurrence->job->ended();
        step->listed = keep;
        return !keep;
    };
    m_openSteps.erase(std::remove_if(m_openSteps.begin(), m_openSteps.end(), stale), m_openSteps.end());
}

void JobTable::setPhase(Task *task, TaskPhase phase, TimePoint now)
{
    if (task->phase == TaskPhase::Idle && phase != TaskPhase::Idle) {
        --task->step->idleTasks;
    }
    task->phase = phase;
    task->phaseSince = now;
    Job *job = task->step->occurrence->job;
    job->idleSince = TimePoint{};
    if (phase == TaskPhase::Running && job->phase == JobPhase::Queued) {
        job->phase = JobPhase::InProgress;
    }
}

void JobTable::setIdle(Task *task)
{
    if (task->phase != TaskPhase::Idle) {
        ++task->step->idleTasks;
    }
    task->phase = TaskPhase::Idle;
    task->worker = nullptr;
    task->percentAtWork = 0;
    task->gauge = 0;
    task->pace = fullPace;
    task->latePaceOrdersUntil = TimePoint{};
    task->pausedSince = TimePoint{};
    task->slowSince = TimePoint{};
    task->moveDeclined = false;
    task->overTargetSince = TimePoint{};
    task->headroomError = 0;
    task->step->waitingSince = TimePoint{};
    listStep(task->step);
}

void JobTable::setDone(Task *task, TimePoint now, WallTime wall)
{
    if (task->phase == TaskPhase::Done) {
        return;
    }
    clearCrashes(task);
    setPhase(task, TaskPhase::Done, now);
    task->worker = nullptr;
    task->checkpoint.clear();
    Step *step = task->step;
    Occurrence *occurrence = step->occurrence;
    markDirty(occurrence->job);
    --step->tasksLeft;
    if (step->tasksLeft > 0) {
        return;
    }
    --occurrence->stepsLeft;
    for (Step &later : occurrence->steps) {
        openStep(&later);
    }
    if (occurrence->stepsLeft == 0) {
        finishOccurrence(occurrence, now, wall);
    }
}

void JobTable::finishOccurrence(Occurrence *occurrence, TimePoint now, WallTime wall)
{
    Job *job = occurrence->job;
    job->doneOccurrences.insert(occurrence->number);
    ++job->occurrencesDone;
    if (job->occurrencesDone == occurrenceCount(job->spec)) {
        if (!job->ended()) {
            end(job, JobPhase::Complete, now);
        }
    } else {
        openDueOccurrences(job, wall);
    }
}

void JobTable::countFailure(Task *task, RunNumber run, TimePoint now)
{
    Job *job = task->step->occurrence->job;
    std::vector<RunNumber> &runs = task->failedRuns;
    if (task->step->spec->longRunning || std::find(runs.begin(), runs.end(), run) != runs.end()) {
        return;
    }
    runs.push_back(run);
    markDirty(job);
    if (runs.size() >= job->policy.maxAttempts && !job->ended()) {
        end(job, JobPhase::Failed, now);
    }
}

void JobTable::setCrashes(Task *task, std::vector<CrashedRun> crashes)
{
    Job *job = task->step->occurrence->job;
    job->suspects -= task->isSuspect() ? 1 : 0;
    task->crashedRuns = std::move(crashes);
    job->suspects += task->isSuspect() ? 1 : 0;
    ++job->crashesCounted;
    markDirty(job);
}

bool JobTable::countCrash(Task *task, const CrashedRun &run)
{
    std::vector<CrashedRun> crashes = task->crashedRuns;
    if (std::any_of(crashes.begin(), crashes.end(), [&run](const CrashedRun &known) {
            return known.run == run.run;
        })) {
        return false;
    }
    crashes.push_back(run);
    setCrashes(task, std::move(crashes));
    return true;
}

bool JobTable::retractCrash(Task *task, RunNumber run)
{
    std::vector<CrashedRun> crashes = task->crashedRuns;
    const auto it = std::find_if(crashes.begin(), crashes.end(), [run](const CrashedRun &known) {
        return known.run == run;
    });
    if (it == crashes.end()) {
        return false;
    }
    crashes.erase(it);
    setCrashes(task, std::move(crashes));
    return true;
}

bool JobTable::clearCrashes(Task *task)
{
    if (task->crashedRuns.empty()) {
        return false;
    }
    setCrashes(task, {});
    return true;
}

void JobTable::end(Job *job, JobPhase phase, TimePoint now)
{
    job->phase = phase;
    job->phaseDurable = phase == JobPhase::Cancelled; // The request to cancel is itself durable.
    job->endedAt = now;
    m_jobsWithFutureOccurrences.erase(job);
    markDirty(job);
}

void JobTable::releaseEndedJob(Job *job)
{
    if (job->ended() && !job->dirty) {
        for (const auto &[number, occurrence] : job->open) {
            for (const Step &step : occurrence->steps) {
                for (const Task &task : step.tasks) {
                    if (task.worker != nullptr) {
                        return;
                    }
                }
                if (step.listed) {
                    return;
                }
            }
        }
        job->open.clear();
        job->spec.payload.clear();
        job->spec.payload.shrink_to_fit();
    }
}

void JobTable::markDirty(Job *job)
{
    if (!job->dirty) {
        job->dirty = true;
        m_dirty.push_back(job);
    }
}

std::vector<Job *> JobTable::takeDirty(std::size_t limit)
{
    const std::size_t n = std::min(limit, m_dirty.size());
    std::vector<Job *> out(m_dirty.begin(), m_dirty.begin() + static_cast<std::ptrdiff_t>(n));
    m_dirty.erase(m_dirty.begin(), m_dirty.begin() + static_cast<std::ptrdiff_t>(n));
    for (Job *job : out) {
        job->dirty = false;
    }
    return out;
}

std::string JobTable::encodeProgress(const Job &job, Checkpoints with)
{
    json out{{"phase", static_cast<int>(job.phase)}};
    if (!job.ended()) {
        json occurrences = json::array();
        for (const auto &[number, occurrence] : job.open) {
            if (occurrence->stepsLeft == 0) {
                continue;
            }
            json steps = json::array();
            for (const Step &step : occurrence->steps) {
                steps.push_back(stepProgress(step, with));
            }
            occurrences.push_back({number, steps});
        }
        out["open"] = occurrences;
        if (!job.doneOccurrences.empty()) {
            out["finished"] = job.doneOccurrences;
        }
    }
    const std::vector<std::uint8_t> bytes = json::to_cbor(out);
    return std::string(bytes.begin(), bytes.end());
}

void JobTable::applyProgress(Job *job, const std::string &value, TimePoint now, WallTime wall)
{
    const json in = json::from_cbor(value);
    const JobPhase phase = static_cast<JobPhase>(in.at("phase").get<int>());
    if (phase == JobPhase::Complete || phase == JobPhase::Failed || phase == JobPhase::Cancelled) {
        job->phase = phase;
        job->phaseDurable = true;
        job->endedAt = now;
        m_jobsWithFutureOccurrences.erase(job);
        return;
    }
    job->phase = JobPhase::InProgress;
    if (in.contains("finished")) {
        job->doneOccurrences = in.at("finished").get<std::set<std::uint32_t>>();
        job->occurrencesDone = static_cast<std::uint32_t>(job->doneOccurrences.size());
        for (const std::uint32_t number : job->doneOccurrences) {
            const auto it = job->open.find(number);
            if (it != job->open.end()) {
                for (Step &step : it->second->steps) {
                    step.idleTasks = 0;
                }
                pruneOpenSteps();
                job->open.erase(it);
            }
        }
    }
    for (const json &entry : in.at("open")) {
        const std::uint32_t number = entry.at(0).get<std::uint32_t>();
        const auto it = job->open.find(number);
        Occurrence *occurrence = it != job->open.end() ? it->second.get() : openOccurrence(job, number);
        for (std::size_t i = 0; i < occurrence->steps.size(); ++i) {
            Step &step = occurrence->steps[i];
            applyStepProgress(&step, entry.at(1).at(i));
            if (step.tasksLeft == 0) {
                --occurrence->stepsLeft;
            }
        }
        for (Step &step : occurrence->steps) {
            openStep(&step);
        }
        job->nextOccurrence = std::max(job->nextOccurrence, number + 1);
    }
    openDueOccurrences(job, wall);
    pruneOpenSteps();
}

std::size_t JobTable::pending(const std::string &queue) const
{
    return static_cast<std::size_t>(std::count_if(m_jobs.begin(), m_jobs.end(), [&queue](const auto &entry) {
        const Job &job = *entry.second;
        return job.phase == JobPhase::Queued && job.policy.name == queue && job.spec.occurrences == 0;
    }));
}

} // namespace fescueledge::workflow
