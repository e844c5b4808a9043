// A coordinator takes over, and its predecessor, which does not know it yet, starts a job that it hasn't read.
#include "readyworld_pvt.h"
#include "rows_pvt.h"
#include "workflowworld_pvt.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

std::unique_ptr<WorkflowWorld> lastingWorld(int nodes)
{
    std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 2);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(3'600'000), false);
    };
    return world;
}

std::size_t activeRuns(const WorkflowWorld &world)
{
    const std::vector<SimWorkers::RunRecord> runs = world.workers.runsOf(jobA);
    return static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(), [](const SimWorkers::RunRecord &run) {
        return run.ended == TimePoint{};
    }));
}

/// Lets the other node take over while the first one coordinates on: they don't reach each other, the store's watches
/// tell neither of changes, and the workers don't answer the new coordinator. Then @p spec is submitted to the first.
int takeOverUnnoticed(WorkflowWorld *world, const WorkflowSpec &spec)
{
    const int first = world->coordinator();
    const int second = otherThan(first, 2);
    const NodeId name = "node-" + std::to_string(second);
    for (const WorkerEntry &entry : world->workers.listed()) {
        world->workers.find(entry.id)->cutFrom.insert(name);
    }
    world->storeFaults(first).watchesSilent = true;
    world->storeFaults(second).watchesSilent = true;
    world->network.setIsolated(name, true);
    const std::size_t terms = world->countInLogs("jobs_loaded");
    REQUIRE(world->runUntil(
        [world, terms] {
            return world->countInLogs("jobs_loaded") > terms;
        },
        std::chrono::seconds(5)));
    world->run(Milliseconds(30));
    world->submitLater(first, jobA, spec, [](const CallerAnswer &) {});
    world->run(Milliseconds(60));
    world->network.setIsolated(name, false);
    return second;
}

} // namespace

// Guards against a new coordinator that stops the tasks of a job only because it hasn't read the job yet.
TEST_CASE("runs of a job that the new coordinator hasn't read yet go on, and are kept once it has")
{
    // Longer than the lease that the predecessor gave, too.
    for (const Milliseconds unread : {Milliseconds(2000), Milliseconds(8000)}) {
        INFO("read after " << unread.count() << " ms");
        const std::unique_ptr<WorkflowWorld> world = lastingWorld(2);
        StepSpec step = simpleStep(2);
        step.longRunning = true;
        step.maxUnavailable = 1;
        const int second = takeOverUnnoticed(world.get(), workflowOf({step}));
        REQUIRE(world->workers.runsOf(jobA).size() == 2);
        for (const WorkerEntry &entry : world->workers.listed()) {
            world->workers.find(entry.id)->cutFrom.clear();
        }
        world->run(unread);
        world->storeFaults(second).watchesSilent = false;
        world->run(std::chrono::seconds(10));
        CHECK(world->coordinator() == second);
        CHECK(world->countInLogs("run_of_unread_job") == 2);
        CHECK(world->workers.runsOf(jobA).size() == 2);
        CHECK(activeRuns(*world) == 2);
        CHECK(world->state(second, jobA) == "in_progress");
    }
}

// Guards against runs that are kept for good because their job is taken for one that hasn't been read yet.
TEST_CASE("runs of a job that the store doesn't have are stopped")
{
    const std::unique_ptr<WorkflowWorld> world = lastingWorld(1);
    world->submit(0, jobA, workflowOf({simpleStep(2)}));
    world->run(Milliseconds(500));
    REQUIRE(activeRuns(*world) == 2);
    world->kill(0);
    Transaction removal;
    removal.removals = {rows::job(jobA), rows::progress(jobA)};
    world->rows.commit(removal);
    world->startNode(0);
    world->run(std::chrono::seconds(3));
    CHECK(activeRuns(*world) == 0);
    CHECK(world->workers.runsOf(jobA).size() == 2);
}
