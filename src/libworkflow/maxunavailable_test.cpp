// Load pattern: fillers that last and allow few of their step to be away fill a fleet, and then serving tasks start
// beside some of them that they disturb.
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

constexpr int workerCount = 12;
constexpr int sharedWorkers = 6; ///< Of these, on the rack where the serving tasks start.
constexpr std::int64_t calmTailMs = 8;
constexpr std::int64_t tailTargetMs = 20;
constexpr int fullSpeed = 100; ///< Percent.
constexpr Milliseconds startupTime{300};
constexpr Milliseconds stopDelay{900};
/// By the users' definition, a task counts as away once it has not been at work for this long, and at once if an order
/// ended it.
constexpr Milliseconds awayNotice{4500};
/// By the users' definition, a serving task is harmed if fillers keep it over its target for this long.
constexpr Milliseconds maxOverTargetTime{4000};
const JobId servingJob = "5000000000000000";
const JobId lastingJob = "f000000000000000";

struct LastingFleet
{
    LastingFleet(int nodes, std::uint32_t maxUnavailable)
        : world(std::make_unique<WorkflowWorld>(nodes))
        , nodeCount(nodes)
    {
        SimWorkers &workers = world->workers;
        for (int i = 0; i < workerCount; ++i) {
            Resources capacity;
            capacity.milliCores = 8000;
            capacity.memoryMb = 100000;
            workers.add("w" + std::to_string(i), "dc-a", i < sharedWorkers ? "r0" : "r1", capacity);
        }
        workers.startupTime = startupTime;
        workers.workOf = [](const TaskKey &) {
            return std::make_pair(Milliseconds(3'600'000), false);
        };
        workers.gaugeOf = [this](const SimWorkers::SimWorker &worker, const SimWorkers::RunRecord &record) {
            return record.task.job == servingJob ? tailOn(worker) : record.pace * std::int64_t{10};
        };
        world->run(Milliseconds(1500));
        StepSpec step = simpleStep(workerCount);
        step.perTask.milliCores = 3000;
        step.longRunning = true;
        step.filler = true;
        step.image = "loud";
        step.maxUnavailable = maxUnavailable;
        world->submit(0, lastingJob, workflowOf({step}));
        world->run(std::chrono::seconds(6));
    }

    /// Tail of a serving task on @p worker, which grows with the pace of the fillers there.
    std::int64_t tailOn(const SimWorkers::SimWorker &worker) const
    {
        std::int64_t tail = calmTailMs;
        for (const auto &[key, index] : worker.active) {
            const SimWorkers::RunRecord &run = world->workers.runs()[index];
            tail += run.task.job == lastingJob ? run.pace * std::int64_t{60} / fullSpeed : 0;
        }
        return tail;
    }

    void startServing(std::uint32_t count)
    {
        StepSpec step = simpleStep(count);
        step.perTask.milliCores = 6000;
        step.longRunning = true;
        step.image = "serve";
        step.tailTarget = Milliseconds(tailTargetMs);
        step.requiredLabel = "r0";
        step.maxPerWorker = 1;
        const int node = nodeCount == 1 ? 0 : otherThan(world->coordinator(), nodeCount);
        world->submitLater(node, servingJob, workflowOf({step}), [](const CallerAnswer &) {});
    }

    /// Runs for @p span, and records for how long serving tasks are over their target.
    void run(Duration span)
    {
        constexpr Milliseconds sample{50};
        for (Duration left = span; left > Duration::zero(); left -= sample) {
            world->run(sample);
            for (int i = 0; i < workerCount; ++i) {
                const SimWorkers::SimWorker &worker = *world->workers.find("w" + std::to_string(i));
                const bool serves = std::any_of(worker.active.begin(), worker.active.end(), [this](const auto &entry) {
                    return world->workers.runs()[entry.second].task.job == servingJob;
                });
                Duration &lasted = m_overTarget[worker.entry.id];
                lasted = serves && tailOn(worker) > tailTargetMs ? lasted + sample : Duration::zero();
                longestOverTarget = std::max(longestOverTarget, lasted);
            }
        }
    }

    bool isAwayAt(std::uint32_t index, TimePoint at) const
    {
        TimePoint since{};
        bool wasOrdered = false;
        for (const SimWorkers::RunRecord &run : world->workers.runsOf(lastingJob)) {
            if (run.task.index != index || run.began > at) {
                continue;
            }
            const bool isOn = run.ended == TimePoint{} || run.ended > at;
            if (isOn && run.began + startupTime <= at) {
                return false;
            }
            if (!isOn && run.ended >= since) {
                since = run.ended;
                wasOrdered = run.how == RunEnd::Stopped;
            }
        }
        return wasOrdered || at - since >= awayNotice;
    }

    /// The most tasks of the step, besides the one that was stopped, that were away when an order stopped a task at
    /// work.
    int mostAwayAtStops() const
    {
        int most = 0;
        for (const SimWorkers::RunRecord &stopped : world->workers.runsOf(lastingJob)) {
            const bool wasAtWork = stopped.began + startupTime <= stopped.ended;
            if (stopped.ended == TimePoint{} || stopped.how != RunEnd::Stopped || !wasAtWork) {
                continue;
            }
            int away = 0;
            for (std::uint32_t index = 0; index < workerCount; ++index) {
                away += index != stopped.task.index && isAwayAt(index, stopped.ended) ? 1 : 0;
            }
            most = std::max(most, away);
        }
        return most;
    }

    std::size_t stops() const
    {
        const std::vector<SimWorkers::RunRecord> runs = world->workers.runsOf(lastingJob);
        return static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(), [](const SimWorkers::RunRecord &run) {
            return run.how == RunEnd::Stopped && run.ended != TimePoint{};
        }));
    }

    /// Number of tasks of the step that work at full pace.
    std::size_t atFullPace() const
    {
        const std::vector<SimWorkers::RunRecord> runs = world->workers.runsOf(lastingJob);
        return static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(), [](const SimWorkers::RunRecord &run) {
            return run.ended == TimePoint{} && run.pace == fullSpeed;
        }));
    }

    std::unique_ptr<WorkflowWorld> world;
    int nodeCount;
    Duration longestOverTarget{0};

private:
    std::map<WorkerId, Duration> m_overTarget;
};

} // namespace

// Guards against moves that take more tasks of a step away at the same time than it allows, because each slowed filler
// was moved without a look at the others.
TEST_CASE("slowed fillers of a step with max_unavailable are moved only so many at a time, and all of them in the end")
{
    for (const std::uint32_t limit : {1U, 2U}) {
        for (const std::uint32_t serving : {4U, 6U}) {
            INFO("limit " << limit << ", serving tasks " << serving);
            LastingFleet fleet(1, limit);
            fleet.world->workers.stopDelay = stopDelay;
            fleet.startServing(serving);
            fleet.run(std::chrono::seconds(60));
            CHECK(fleet.stops() >= serving);
            CHECK(fleet.mostAwayAtStops() < static_cast<int>(limit));
            CHECK(fleet.atFullPace() == workerCount);
            CHECK(fleet.longestOverTarget.count() < Duration(maxOverTargetTime).count());
        }
    }
}

// Guards against a limit that also holds back steps without one.
TEST_CASE("slowed fillers of a step without max_unavailable are moved together")
{
    LastingFleet fleet(1, 0);
    fleet.world->workers.stopDelay = stopDelay;
    fleet.startServing(4);
    fleet.run(std::chrono::seconds(10));
    CHECK(fleet.stops() >= 4);
    CHECK(fleet.mostAwayAtStops() >= 1);
}

// Guards against a new coordinator that moves a task while those that its predecessor has stopped are still away, or
// are still listed as at work while they stop.
TEST_CASE("max_unavailable holds over a takeover")
{
    for (const bool resigns : {false, true}) {
        for (Milliseconds wait{0}; wait <= std::chrono::seconds(5); wait += Milliseconds(100)) {
            INFO("coordinator " << (resigns ? "resigns" : "killed") << " after " << wait.count() << " ms");
            LastingFleet fleet(2, 1);
            fleet.world->workers.stopDelay = stopDelay;
            fleet.startServing(6);
            fleet.run(wait);
            const int first = fleet.world->coordinator();
            if (resigns) {
                fleet.world->resign(first);
            } else {
                fleet.world->kill(first);
            }
            fleet.run(std::chrono::seconds(25));
            CHECK(fleet.world->coordinator() != first);
            CHECK(fleet.stops() >= 4);
            CHECK(fleet.mostAwayAtStops() == 0);
        }
    }
}

// Guards against a move while a task of the step is away for another reason than an order: its worker is lost.
TEST_CASE("no task of a step with max_unavailable is moved while one that was lost with its worker is away")
{
    LastingFleet fleet(1, 1);
    const WorkerId lost = "w" + std::to_string(workerCount - 1);
    fleet.world->workers.find(lost)->cutFrom.insert("node-0");
    fleet.run(Milliseconds(1500)); // Its lease is not over yet, so its task starts nowhere else.
    fleet.startServing(4);
    fleet.run(Milliseconds(2000));
    CHECK(fleet.stops() == 0);
    CHECK(fleet.world->log(0).count("run_move_deferred") > 0);
    fleet.run(std::chrono::seconds(40));
    CHECK(fleet.stops() >= 4);
    CHECK(fleet.mostAwayAtStops() == 0);
}
