#include "sharedfleet_pvt.h"

#include <algorithm>
#include <cmath>

namespace fescueledge::workflow {

namespace {

constexpr std::int64_t workerMilliCores = 32000;
constexpr std::int64_t fillerMilliCores = 4000;
constexpr std::int64_t memoryMb = 1000;
constexpr std::int64_t fillerMemoryMb = 20;
constexpr double serviceMs = 4;
constexpr Milliseconds tailTarget{18};
constexpr Milliseconds longestTail{400};
constexpr double gaugeError = 0.1;
constexpr int fullSpeed = 100; ///< Percent.
constexpr double swingSeconds = 10;
constexpr Milliseconds unboundedWork{600000};
constexpr Milliseconds settleTime{1500};
constexpr Milliseconds sampleInterval{50};
/// Time in which the coordinator learns the effect of fillers.
constexpr std::chrono::seconds trainingTime{40};
/// A serving task that is over its target in every gauge for this long has been reported as such.
constexpr Milliseconds reportedOverTargetTime{1000};
/// Time in which the serving tasks are gauged a few times.
constexpr Milliseconds firstGaugesDelay{3000};
const JobId servingJob = "5000000000000000";

} // namespace

SharedFleet::SharedFleet(int nodes, int workers, double interference)
    : world(std::make_unique<WorkflowWorld>(nodes))
    , m_interference(interference)
    , m_random(1)
{
    SimWorkers &fleet = world->workers;
    for (int i = 0; i < workers; ++i) {
        Resources capacity;
        capacity.milliCores = workerMilliCores;
        capacity.memoryMb = memoryMb;
        fleet.add("w" + std::to_string(i), "dc-a", "r0", capacity);
    }
    fleet.workOf = [this](const TaskKey &key) {
        const auto it = m_work.find(key.job);
        return std::make_pair(it == m_work.end() ? unboundedWork : it->second, false);
    };
    fleet.gaugeOf = [this](const SimWorkers::SimWorker &worker, const SimWorkers::RunRecord &record) {
        return record.task.job == servingJob ? gaugeOf(worker) : fillerMilliCores * record.pace / fullSpeed;
    };
    world->run(settleTime);
    StepSpec serving = simpleStep(static_cast<std::uint32_t>(workers));
    serving.perTask.milliCores = workerMilliCores / 4;
    serving.longRunning = true;
    serving.maxPerWorker = 1;
    serving.image = "web";
    serving.tailTarget = tailTarget;
    world->submit(0, servingJob, workflowOf({serving}), "urgent");
    world->run(firstGaugesDelay);
}

StepSpec SharedFleet::fillerStep(std::uint32_t tasks)
{
    StepSpec step = simpleStep(tasks);
    step.perTask.milliCores = fillerMilliCores;
    step.perTask.memoryMb = fillerMemoryMb;
    step.filler = true;
    step.checkpoints = true;
    step.image = "grind";
    return step;
}

JobId SharedFleet::submit(const std::vector<StepSpec> &steps, Milliseconds work)
{
    const std::string number = std::to_string(m_jobs.size());
    JobId job = "f" + std::string(15 - number.size(), '0') + number;
    m_work[job] = work;
    m_jobs[job];
    world->submit(0, job, workflowOf(steps));
    return job;
}

JobId SharedFleet::submitFillers(std::uint32_t tasks, Milliseconds work)
{
    return submit({fillerStep(tasks)}, work);
}

void SharedFleet::trainModelAndRaiseLoad()
{
    submitFillers(8, Milliseconds(1700));
    run(trainingTime);
    servingLoad = 0.55;
    swing = 0.2;
    run(std::chrono::seconds(10));
}

void SharedFleet::run(Duration span)
{
    const TimePoint until = world->world.now() + span;
    while (world->world.now() < until) {
        const TimePoint before = world->world.now();
        world->run(sampleInterval);
        recordIdleAndOverTarget(world->world.now() - before);
    }
}

void SharedFleet::recordIdleAndOverTarget(Duration span)
{
    for (auto &[job, watched] : m_jobs) {
        const std::vector<SimWorkers::RunRecord> runs = world->workers.runsOf(job);
        const bool atWork = std::any_of(runs.begin(), runs.end(), [](const SimWorkers::RunRecord &run) {
            return run.ended == TimePoint{};
        });
        watched.idle = atWork || world->state(0, job) == "complete" ? Duration::zero() : watched.idle + span;
        watched.longestIdle = std::max(watched.longestIdle, watched.idle);
    }
    countStarts();
    for (const WorkerEntry &entry : world->workers.listed()) {
        const SimWorkers::SimWorker &worker = *world->workers.find(entry.id);
        Duration &slow = m_servingOverTarget[entry.id];
        const double surelyOver = static_cast<double>(tailTarget.count()) / (1 - gaugeError);
        slow = static_cast<double>(tailOf(worker)) > surelyOver ? slow + span : Duration::zero();
        const bool over = fillerLoad(worker) > 0 && tailOf(worker) > tailTarget.count();
        Duration &lasted = m_overTarget[entry.id];
        lasted = over ? lasted + span : Duration::zero();
        m_longestOverTarget = std::max(m_longestOverTarget, lasted);
    }
}

void SharedFleet::countStarts()
{
    const std::vector<SimWorkers::RunRecord> &runs = world->workers.runs();
    for (; m_runsSeen < runs.size(); ++m_runsSeen) {
        const SimWorkers::RunRecord &run = runs[m_runsSeen];
        m_startsBesideOverTarget +=
            run.task.job != servingJob && m_servingOverTarget[run.worker] >= reportedOverTargetTime ? 1 : 0;
    }
}

double SharedFleet::ownLoad() const
{
    const double seconds = std::chrono::duration<double>(world->world.now().time_since_epoch()).count();
    return servingLoad * (1 + swing * std::sin(2 * std::acos(-1.0) * seconds / swingSeconds));
}

double SharedFleet::fillerLoad(const SimWorkers::SimWorker &worker) const
{
    double load = 0;
    for (const auto &[key, index] : worker.active) {
        const SimWorkers::RunRecord &run = world->workers.runs()[index];
        if (run.task.job != servingJob) {
            load += static_cast<double>(run.pace) / fullSpeed * fillerMilliCores / workerMilliCores;
        }
    }
    return load;
}

std::int64_t SharedFleet::tailOf(const SimWorkers::SimWorker &worker) const
{
    const auto slower = slowdown.find(worker.entry.id);
    const double service = serviceMs * (slower == slowdown.end() ? 1 : slower->second);
    const double idle = 1 - ownLoad() - m_interference * fillerLoad(worker);
    return idle <= 0 ? longestTail.count() : std::min<std::int64_t>(longestTail.count(), std::llround(service / idle));
}

std::int64_t SharedFleet::gaugeOf(const SimWorkers::SimWorker &worker)
{
    const double error = 1 - gaugeError + 2 * gaugeError * m_random.unit();
    return std::llround(static_cast<double>(tailOf(worker)) * error);
}

std::size_t SharedFleet::runsOf(const JobId &job) const
{
    return world->workers.runsOf(job).size();
}

Milliseconds SharedFleet::longestIdle(const JobId &job) const
{
    return std::chrono::duration_cast<Milliseconds>(m_jobs.at(job).longestIdle);
}

Milliseconds SharedFleet::longestOverTarget() const
{
    return std::chrono::duration_cast<Milliseconds>(m_longestOverTarget);
}

} // namespace fescueledge::workflow
