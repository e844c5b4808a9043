#include "sharedfleet_pvt.h"

#include <algorithm>
#include <cmath>

namespace fescueledge::workflow {

namespace {

constexpr std::int64_t workerMilliCores = 32000;
constexpr std::int64_t fillerMilliCores = 4000;
constexpr std::int64_t memoryMb = 1000;
constexpr double serviceMs = 4;
constexpr Milliseconds tailTarget{18};
constexpr Milliseconds longestTail{400};
constexpr double fullPace = 100;
constexpr double swingSeconds = 10;
constexpr Milliseconds forever{600000};
constexpr Milliseconds settle{1500};
constexpr Milliseconds watchPeriod{50};
/// Until the serving tasks have been gauged a few times.
constexpr Milliseconds firstGauges{3000};
const JobId servingJob = "5000000000000000";

} // namespace

SharedFleet::SharedFleet(int nodes, int workers, double pressure)
    : world(std::make_unique<WorkflowWorld>(nodes))
    , m_pressure(pressure)
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
        return std::make_pair(it == m_work.end() ? forever : it->second, false);
    };
    fleet.gaugeOf = [this](const SimWorkers::SimWorker &worker, const SimWorkers::RunRecord &record) {
        return record.task.job == servingJob ? tailOf(worker) : fillerMilliCores * record.pace / std::int64_t{100};
    };
    world->run(settle);
    StepSpec serving = simpleStep(static_cast<std::uint32_t>(workers));
    serving.perTask.milliCores = workerMilliCores / 4;
    serving.longRunning = true;
    serving.maxPerWorker = 1;
    serving.image = "web";
    serving.tailTarget = tailTarget;
    world->submit(0, servingJob, workflowOf({serving}), "urgent");
    world->run(firstGauges);
}

JobId SharedFleet::submitFillers(std::uint32_t tasks, Milliseconds work)
{
    const JobId job = "f00000000000000" + std::to_string(m_jobs.size());
    StepSpec step = simpleStep(tasks);
    step.perTask.milliCores = fillerMilliCores;
    step.filler = true;
    step.checkpoints = true;
    step.image = "grind";
    step.estimate = work;
    m_work[job] = work;
    m_jobs[job];
    world->submit(0, job, workflowOf({step}));
    return job;
}

void SharedFleet::run(Duration span)
{
    const TimePoint until = world->world.now() + span;
    while (world->world.now() < until) {
        const TimePoint before = world->world.now();
        world->run(watchPeriod);
        watch(world->world.now() - before);
    }
}

void SharedFleet::watch(Duration span)
{
    for (auto &[job, watched] : m_jobs) {
        const std::vector<SimWorkers::RunRecord> runs = world->workers.runsOf(job);
        const bool atWork = std::any_of(runs.begin(), runs.end(), [](const SimWorkers::RunRecord &run) {
            return run.ended == TimePoint{};
        });
        watched.idle = atWork || world->state(0, job) == "complete" ? Duration::zero() : watched.idle + span;
        watched.longestIdle = std::max(watched.longestIdle, watched.idle);
    }
    for (const WorkerEntry &entry : world->workers.listed()) {
        const SimWorkers::SimWorker &worker = *world->workers.find(entry.id);
        const bool over = fillerLoad(worker) > 0 && tailOf(worker) > tailTarget.count();
        Duration &lasted = m_overTarget[entry.id];
        lasted = over ? lasted + span : Duration::zero();
        m_longestOverTarget = std::max(m_longestOverTarget, lasted);
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
    for (const auto &[name, index] : worker.active) {
        const SimWorkers::RunRecord &run = world->workers.runs()[index];
        if (run.task.job != servingJob) {
            load += run.pace / fullPace * fillerMilliCores / workerMilliCores;
        }
    }
    return load;
}

std::int64_t SharedFleet::tailOf(const SimWorkers::SimWorker &worker) const
{
    const double idle = 1 - ownLoad() - m_pressure * fillerLoad(worker);
    return idle <= 0 ? longestTail.count()
                     : std::min<std::int64_t>(longestTail.count(), std::llround(serviceMs / idle));
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
