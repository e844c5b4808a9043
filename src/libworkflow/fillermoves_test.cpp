// Load pattern: serving tasks whose load swings share a fleet with fillers that disturb them, and a part of the fleet
// has no serving tasks.
#include "workflowworld_pvt.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

constexpr int workerCount = 8;
constexpr int servingCount = 4;
constexpr std::int64_t calmTailMs = 8;
constexpr std::int64_t busyTailMs = 17; ///< Under its target, without room for a filler at any pace.
constexpr std::int64_t tailTargetMs = 20;
constexpr std::int64_t disturbedTailMs = 60;
constexpr int fullSpeed = 100; ///< Percent.
constexpr Milliseconds fillerWork{6000};
const JobId servingJob = "5000000000000000";
/// By the users' definition, a serving task is harmed if fillers keep it over its target for this long.
constexpr Milliseconds maxOverTargetTime{4000};

CoordinatorSettings weighingSettings()
{
    CoordinatorSettings settings;
    settings.weighMoves = true;
    return settings;
}

/// Fillers start beside idle serving tasks, which are then busy for some time.
class SwingingFleet
{
public:
    explicit SwingingFleet(bool savesProgress)
        : world(1, 1, weighingSettings())
        , m_savesProgress(savesProgress)
    {
        SimWorkers &workers = world.workers;
        addWorkers(0, servingCount, "r0");
        workers.workOf = [](const TaskKey &key) {
            return std::make_pair(key.job == servingJob ? Milliseconds(3'600'000) : fillerWork, false);
        };
        workers.workForOrder = [this](const StartOrder &order) {
            const Milliseconds work = world.workers.workOf(order.task).first;
            return order.checkpoint.empty() ? work : work * (fullSpeed - std::stoi(order.checkpoint)) / fullSpeed;
        };
        workers.percentOf = [this](const SimWorkers::SimWorker &, const SimWorkers::RunRecord &run) {
            return run.task.job == servingJob ? fullSpeed : percentOf(run);
        };
        workers.checkpointOf = [this](const SimWorkers::SimWorker &, const SimWorkers::RunRecord &run) {
            return m_savesProgress && run.task.job != servingJob ? std::to_string(percentOf(run)) : std::string();
        };
        workers.gaugeOf = [this](const SimWorkers::SimWorker &worker, const SimWorkers::RunRecord &run) {
            return run.task.job == servingJob ? tailOn(worker) : run.pace * std::int64_t{10};
        };
        world.run(Milliseconds(1500));
        StepSpec serving = simpleStep(servingCount);
        serving.perTask.milliCores = 2000;
        serving.longRunning = true;
        serving.image = "web";
        serving.tailTarget = Milliseconds(tailTargetMs);
        serving.requiredLabel = "r0";
        serving.maxPerWorker = 1;
        world.submit(0, servingJob, workflowOf({serving}), "urgent");
        world.run(std::chrono::seconds(2));
    }

    /// Starts a filler beside each serving task; workers without serving tasks join afterwards.
    void startFillers()
    {
        StepSpec step = simpleStep(servingCount);
        step.filler = true;
        step.checkpoints = m_savesProgress;
        step.estimate = fillerWork;
        step.image = "loud";
        step.maxPerWorker = 1;
        world.submit(0, "f000000000000000", workflowOf({step}));
        run(std::chrono::seconds(1));
        addWorkers(servingCount, workerCount, "r1");
        run(std::chrono::seconds(2));
    }

    void run(Duration span)
    {
        constexpr Milliseconds sample{50};
        for (Duration left = span; left > Duration::zero(); left -= sample) {
            world.run(sample);
            for (const WorkerEntry &entry : world.workers.listed()) {
                const SimWorkers::SimWorker &worker = *world.workers.find(entry.id);
                Duration &lasted = m_overTarget[entry.id];
                lasted = tailOn(worker) > tailTargetMs ? lasted + sample : Duration::zero();
                longestOverTarget = std::max(longestOverTarget, lasted);
            }
        }
    }

    std::size_t moves()
    {
        return world.countInLogs("run_moved_away");
    }

    WorkflowWorld world;
    bool isBusy = false;
    Duration longestOverTarget{0};

private:
    void addWorkers(int first, int end, const std::string &rack)
    {
        for (int i = first; i < end; ++i) {
            Resources capacity;
            capacity.milliCores = 8000;
            capacity.memoryMb = 100000;
            world.workers.add("w" + std::to_string(i), "dc-a", rack, capacity);
        }
    }

    /// Progress of @p run, with that of earlier runs from whose checkpoint it started.
    int percentOf(const SimWorkers::RunRecord &run) const
    {
        return static_cast<int>(fullSpeed - world.workers.workLeft(run) * fullSpeed / Duration(fillerWork));
    }

    std::int64_t tailOn(const SimWorkers::SimWorker &worker) const
    {
        bool serves = false;
        bool isDisturbed = false;
        for (const auto &[key, index] : worker.active) {
            const SimWorkers::RunRecord &other = world.workers.runs()[index];
            serves = serves || other.task.job == servingJob;
            isDisturbed = isDisturbed || (other.task.job != servingJob && other.pace > 0);
        }
        if (!serves || !isBusy) {
            return calmTailMs;
        }
        return isDisturbed ? disturbedTailMs : busyTailMs;
    }

    bool m_savesProgress;
    std::map<WorkerId, Duration> m_overTarget;
};

} // namespace

// Guards against moves that throw away the work of fillers without checkpoints.
TEST_CASE("fillers that save nothing and have done half of their work are paused and not moved")
{
    SwingingFleet fleet(false);
    fleet.startFillers();
    fleet.isBusy = true;
    fleet.run(std::chrono::seconds(4));
    CHECK(fleet.moves() == 0);
    CHECK(fleet.world.countInLogs("headroom_short") > 0);
    const std::size_t lines = fleet.world.countInLogs("run_moves_declined");
    CHECK(lines >= 1);
    CHECK(lines <= 2); // At most one every five seconds.
    fleet.isBusy = false;
    fleet.run(std::chrono::seconds(20));
    CHECK(fleet.world.state(0, "f000000000000000") == "complete");
    CHECK(fleet.longestOverTarget < maxOverTargetTime);
    for (const SimWorkers::RunRecord &run : fleet.world.workers.runsOf("f000000000000000")) {
        CHECK(run.how == RunEnd::Done);
    }
}

// Guards against a decision that never moves anything, and against moves without their reasons in the log.
TEST_CASE("fillers with checkpoints are moved from serving tasks that need all of their worker for long")
{
    SwingingFleet fleet(true);
    fleet.startFillers();
    fleet.isBusy = true;
    fleet.run(std::chrono::seconds(8));
    CHECK(fleet.moves() > 0);
    for (const std::string &line : fleet.world.linesOf("run_moved_away")) {
        INFO(line);
        for (const char *key :
             {"pace=", "slowed_ms=", "percent_done=", "left_ms=", "lost_ms=0", "stay_ms=", "move_ms="}) {
            CHECK(line.find(key) != std::string::npos);
        }
    }
    CHECK(fleet.longestOverTarget < maxOverTargetTime);
}

// Guards against moves at each swing of the load, most of which last for a moment.
TEST_CASE("a short swing of the load moves no filler")
{
    SwingingFleet fleet(true);
    fleet.startFillers();
    for (int swing = 0; swing < 2; ++swing) {
        fleet.isBusy = true;
        fleet.run(Milliseconds(600));
        fleet.isBusy = false;
        fleet.run(Milliseconds(600));
    }
    CHECK(fleet.world.countInLogs("headroom_short") > 0);
    CHECK(fleet.moves() == 0);
}
