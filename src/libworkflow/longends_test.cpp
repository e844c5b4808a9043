// Workers with more run ends that are not acknowledged than they list at a time.
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

constexpr int nodes = 3;
constexpr std::size_t listedEnds = 10;
constexpr std::uint32_t tasks = 120;
constexpr std::chrono::seconds outage{4};

std::unique_ptr<WorkflowWorld> worldWithShortLists()
{
    std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 3, 16);
    world->workers.maxListedEnds = listedEnds;
    return world;
}

void setStoreDown(WorkflowWorld *world, bool down)
{
    for (int i = 0; i < nodes; ++i) {
        world->storeFaults(i).down = down;
    }
}

std::size_t mostUnacknowledged(WorkflowWorld *world)
{
    std::size_t most = 0;
    for (int i = 0; i < 3; ++i) {
        most = std::max(most, world->workers.find("w" + std::to_string(i))->ends.size());
    }
    return most;
}

/// Each task of jobA has been started once: none was taken for missing.
void checkNoneRepeated(WorkflowWorld *world)
{
    CHECK(world->workers.runsOf(jobA).size() == tasks);
    CHECK(world->workers.tasksRunTwice().empty());
}

} // namespace

// Guards against tasks that are done and run again: their ends did not fit in the list of ends, which grows while the
// store is down, and the runs counted as missing.
TEST_CASE("a run whose end is not among those that its worker lists is not missing")
{
    const std::unique_ptr<WorkflowWorld> world = worldWithShortLists();
    REQUIRE(world->submit(0, jobA, workflowOf({simpleStep(tasks)})) == CallerOutcome::Ok);
    world->run(Milliseconds(20));
    setStoreDown(world.get(), true);
    world->run(outage);
    CHECK(mostUnacknowledged(world.get()) > listedEnds);
    setStoreDown(world.get(), false);
    CHECK(reachesState(*world, 0, jobA, "complete", std::chrono::seconds(10)));
    checkNoneRepeated(world.get());
}

// Guards against the same after a takeover: the next coordinator knows of no run, and took the first answer of a worker
// for all that there is.
TEST_CASE("after a takeover a task whose end its worker does not list yet is not started again")
{
    const std::unique_ptr<WorkflowWorld> world = worldWithShortLists();
    REQUIRE(world->submit(0, jobA, workflowOf({simpleStep(tasks)})) == CallerOutcome::Ok);
    world->run(Milliseconds(20));
    setStoreDown(world.get(), true);
    world->run(Milliseconds(1000));
    REQUIRE(mostUnacknowledged(world.get()) > listedEnds);
    const int old = world->coordinator();
    world->kill(old);
    setStoreDown(world.get(), false);
    CHECK(reachesState(*world, otherThan(old, nodes), jobA, "complete", std::chrono::seconds(20)));
    checkNoneRepeated(world.get());
}

// Guards against crashes counted for tasks whose ends a worker had not listed yet when it crashed.
TEST_CASE("a run that is over but not listed does not count as crashed with its worker")
{
    const std::unique_ptr<WorkflowWorld> world = worldWithShortLists();
    REQUIRE(world->submit(0, jobA, workflowOf({simpleStep(tasks)})) == CallerOutcome::Ok);
    world->run(Milliseconds(20));
    setStoreDown(world.get(), true);
    world->run(Milliseconds(1500));
    REQUIRE(world->workers.find("w0")->ends.size() > listedEnds);
    REQUIRE(world->workers.find("w0")->active.empty());
    world->workers.crash("w0");
    world->run(Milliseconds(300));
    world->workers.restart("w0");
    world->run(Milliseconds(1500));
    CHECK(world->countInLogs("run_crashed") == 0);
    setStoreDown(world.get(), false);
    CHECK(reachesState(*world, 0, jobA, "complete", std::chrono::seconds(10)));
    CHECK(world->workers.tasksRunTwice().empty());
}

// Guards against workers that fill up with ends nobody acknowledges, because the progress of one job on other workers
// can't be written.
TEST_CASE("a job whose progress is too long for a row holds up only the ends of its own workers")
{
    constexpr std::uint32_t longJobTasks = 400;
    const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 4, longJobTasks);
    world->settings.tableLimits.rowBytes = 2000;
    Catalog catalog = world->catalog;
    catalog.queues.front().maxAttempts = 1000;
    world->setCatalog(catalog);
    for (int i = 0; i < nodes; ++i) {
        world->kill(i);
        world->startNode(i);
    }
    world->run(std::chrono::seconds(8));
    REQUIRE(world->coordinator() >= 0);
    const auto stepOn = [](std::uint32_t count, const std::string &rack) {
        StepSpec step = simpleStep(count);
        step.perTask.memoryMb = 0;
        step.requiredLabel = rack;
        return step;
    };
    world->workers.workOf = [](const TaskKey &key) {
        return std::make_pair(Milliseconds(100), key.job == jobA); // Each run of jobA fails.
    };
    REQUIRE(world->submit(0, jobA, workflowOf({stepOn(longJobTasks, "r0")})) == CallerOutcome::Ok);
    REQUIRE(world->runUntil(
        [&world] {
            return world->log(world->coordinator()).count("row_too_long") > 0;
        },
        std::chrono::seconds(20)));
    REQUIRE(world->submit(0, jobB, workflowOf({stepOn(20, "r1")})) == CallerOutcome::Ok);
    world->run(Milliseconds(1000));
    CHECK(world->workers.runsOf(jobB).size() == 20);
    CHECK(world->workers.find("w2")->ends.empty());
    CHECK(world->workers.find("w3")->ends.empty());
}
