// Two runs of one task that a coordinator meets after a takeover, or because an order took effect late.
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

constexpr int nodes = 3;
constexpr Milliseconds workTime{20000};

/// The worker with the run of the first task of jobA that began last.
WorkerId latestWorker(const WorkflowWorld &world)
{
    const std::vector<SimWorkers::RunRecord> runs = world.workers.runsOf(jobA);
    REQUIRE_FALSE(runs.empty());
    return runs.back().worker;
}

void cutFromAll(WorkflowWorld *world, const WorkerId &id)
{
    for (int i = 0; i < nodes; ++i) {
        world->workers.find(id)->cutFrom.insert("node-" + std::to_string(i));
    }
}

WorkerId workerOtherThan(const WorkerId &a, const WorkerId &b)
{
    const std::array<WorkerId, 3> workers{"w0", "w1", "w2"};
    return *std::find_if(workers.begin(), workers.end(), [&](const WorkerId &id) {
        return id != a && id != b;
    });
}

/// Lets a start order of run 1 take effect on worker @p id now.
void startLate(WorkflowWorld *world, const TaskKey &task, const WorkerId &id)
{
    StartOrder order;
    order.task = task;
    order.run = 1;
    order.term = 1;
    order.leaseUntil = world->workers.find(id)->leaseUntil;
    REQUIRE(world->workers.start(id, order).outcome == OrderOutcome::Done);
}

/// Run 1 was on a worker that fell silent and is recorded there; its lease is over, and run 2 is at work on another
/// worker. The coordinator is then killed before it can record that, so the record still names run 1.
struct RecordedRun
{
    RecordedRun()
        : world(readyWorld(nodes, 4))
    {
        world->workers.workOf = [](const TaskKey &key) {
            return std::make_pair(key.job == jobA ? workTime : Milliseconds(100), false);
        };
        first = world->coordinator();
        world->submit(first, jobA, workflowOf({simpleStep(1)}));
        world->run(Milliseconds(500));
        lost = latestWorker(*world);
        cutFromAll(world.get(), lost);
        world->run(Milliseconds(2000));
        world->submit(first, jobB, workflowOf({simpleStep(1)})); // Its end makes the coordinator write the record.
        world->run(Milliseconds(1000));
        REQUIRE(world->log(first).count("worker_silent") == 1);
        REQUIRE(world->workers.runsOf(jobA).size() == 1);
        REQUIRE(world->runUntil(
            [this] {
                return world->log(first).count("run_lost") == 1;
            },
            std::chrono::seconds(5)));
        world->storeFaults(first).down = true; // The record is not written again.
        REQUIRE(world->runUntil(
            [this] {
                return world->workers.runsOf(jobA).size() == 2;
            },
            Milliseconds(200)));
        atWork = latestWorker(*world);
        world->kill(first);
    }

    std::unique_ptr<WorkflowWorld> world;
    int first = -1;
    WorkerId lost; ///< Where run 1 was.
    WorkerId atWork; ///< Where run 2 is.
};

} // namespace

// Guards against a task that runs twice: after a takeover the newer of two runs was stopped, because the record named
// the older one, and the task started again before the stop had taken effect.
TEST_CASE("after a takeover a run at work supersedes an earlier one that was recorded on a lost worker")
{
    const int lostStops = GENERATE(0, 1, 2);
    const bool restarts = GENERATE(false, true);
    RecordedRun found;
    WorkflowWorld &world = *found.world;
    for (int i = 0; i < nodes; ++i) {
        if (i != found.first) {
            world.loseStops(i, lostStops);
        }
    }
    if (restarts) {
        world.workers.find(found.lost)->cutFrom.clear();
        world.workers.crash(found.lost);
        world.workers.restart(found.lost);
    }
    const int node = otherThan(found.first, nodes);
    CHECK(reachesState(world, node, jobA, "complete", std::chrono::seconds(60)));
    CHECK(world.workers.tasksRunTwice().empty());
    CHECK(world.workers.runsOf(jobA).size() == 2); // Run 2 was kept.
}

// The same if the worker with the newer run falls silent together with the coordinator, until its lease is over.
TEST_CASE("after a takeover a task waits for the lease of a silent worker that may have a newer run of it")
{
    const bool restarts = GENERATE(false, true);
    RecordedRun found;
    WorkflowWorld &world = *found.world;
    cutFromAll(&world, found.atWork);
    if (restarts) {
        world.workers.find(found.lost)->cutFrom.clear();
        world.workers.crash(found.lost);
        world.workers.restart(found.lost);
    }
    CHECK(reachesState(world, otherThan(found.first, nodes), jobA, "complete", std::chrono::seconds(60)));
    CHECK(world.workers.tasksRunTwice().empty());
}

// Guards against a new run beside an earlier one that was seen at work: its start order took effect late, and stops of
// it are lost.
TEST_CASE("a task whose run was lost starts again only when an earlier run of it, seen elsewhere, is over")
{
    const int lostStops = GENERATE(0, 1, 2, 5);
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, 4);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(workTime, false);
    };
    world->submit(0, jobA, workflowOf({simpleStep(1)}));
    world->run(Milliseconds(300));
    const WorkerId early = latestWorker(*world);
    const TaskKey task = world->workers.runsOf(jobA).front().task;
    world->workers.crash(early);
    world->workers.restart(early);
    REQUIRE(world->runUntil(
        [&] {
            return world->workers.runsOf(jobA).size() == 2;
        },
        std::chrono::seconds(10)));
    const WorkerId later = latestWorker(*world);
    world->submit(0, jobB, workflowOf({simpleStep(12)})); // Something on each worker, so that all are observed.
    world->run(Milliseconds(300));
    world->loseStops(0, lostStops);
    startLate(world.get(), task, workerOtherThan(early, later));
    REQUIRE(world->runUntil(
        [&] {
            return world->log(0).count("run_stop_unknown") >= 1;
        },
        std::chrono::seconds(2)));
    world->workers.crash(later);
    world->workers.restart(later);
    CHECK(reachesState(*world, 0, jobA, "complete", std::chrono::seconds(60)));
    world->workers.settleAll();
    const std::vector<SimWorkers::RunRecord> runs = world->workers.runsOf(jobA);
    REQUIRE(runs.size() == 4);
    CHECK(runs[2].run == 1);
    CHECK(runs[3].began >= runs[2].ended);
}
