// P1: no VM is given more work than its processors, memory and accelerators can hold.

#include "fescueledge/random.h"
#include "workertestworld_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;

namespace {

/// Adds tasks of four processor and four memory sizes, none of them the actual usage, and more than the workers hold.
void addMixedJobs(WorkerTestWorld *world, std::uint64_t seed)
{
    Random random(seed);
    for (int i = 0; i < 120; ++i) {
        const Resources declared{1000 + static_cast<std::int64_t>(random.below(4)) * 1000,
                                 2000 + static_cast<std::int64_t>(random.below(4)) * 3000, random.chance(0.1) ? 1 : 0};
        const TaskClass taskClass = random.chance(0.2) ? TaskClass::LatencyCritical : TaskClass::Batch;
        world->addJob("job" + std::to_string(i), 1, declared, taskClass, "kind" + std::to_string(random.below(4)));
    }
}

FakeTaskBehaviour makeMisdeclaredTask(const TaskCommand &command)
{
    FakeTaskBehaviour behaviour;
    behaviour.duration = std::chrono::seconds(15);
    behaviour.use = {2500, 4500, 0};
    behaviour.interference = command.resources.milliCores > 2000 ? 2 : 0.5;
    return behaviour;
}

void makeMessagesUnreliable(WorkerTestWorld *world)
{
    world->fleet.faults.loseRequest = 0.1;
    world->fleet.faults.loseReply = 0.1;
    world->fleet.faults.duplicate = 0.2;
    world->fleet.faults.late = 0.2;
    world->network.loss = 0.05;
}

void checkOutcome(WorkerTestWorld *world)
{
    REQUIRE(world->runUntilDone(120, std::chrono::minutes(30)));
    for (const std::string &violation : world->fleet.violations) {
        UNSCOPED_INFO(violation);
    }
    CHECK(world->fleet.violations.empty());
    CHECK(world->queue.givenUp.empty());
}

} // namespace

TEST_CASE("P1: no worker is over capacity while its owner is killed and starts are under way")
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        WorkerTestSettings settings;
        settings.nodes = 3;
        settings.seed = seed;
        WorkerTestWorld world(settings);
        world.fleet.behaviourOf = makeMisdeclaredTask;
        makeMessagesUnreliable(&world);
        world.world.runFor(std::chrono::seconds(3));
        addMixedJobs(&world, seed);
        world.world.runFor(Milliseconds(700 + 300 * static_cast<int>(seed)));
        world.killNode("n0");
        CAPTURE(seed);
        checkOutcome(&world);
    }
}

TEST_CASE("P1: no worker is over capacity when a paused owner resumes")
{
    for (std::uint64_t seed = 11; seed <= 14; ++seed) {
        WorkerTestSettings settings;
        settings.nodes = 3;
        settings.seed = seed;
        WorkerTestWorld world(settings);
        world.fleet.behaviourOf = makeMisdeclaredTask;
        makeMessagesUnreliable(&world);
        world.world.runFor(std::chrono::seconds(3));
        addMixedJobs(&world, seed);
        world.world.runFor(Milliseconds(100 + 250 * static_cast<int>(seed - 10)));
        world.nodes[0]->loop.pause();
        world.world.runFor(std::chrono::seconds(20));
        world.nodes[0]->loop.resume();
        CAPTURE(seed);
        checkOutcome(&world);
    }
}

TEST_CASE("P1: batch work stays within its share and outside the reserve of the service")
{
    WorkerTestSettings settings;
    settings.batchPercent = 50;
    WorkerTestWorld world(settings);
    world.fleet.behaviourOf = makeMisdeclaredTask;
    world.addJob("job", 60, {1000, 2000, 0});
    for (int i = 0; i < 60; ++i) {
        world.world.runFor(std::chrono::seconds(1));
        for (const std::unique_ptr<WorkerTestNode> &node : world.nodes) {
            for (const WorkerStatus &status : node->controller->status()) {
                REQUIRE(status.committed.fitsIn(Resources{3000, 14000, 0}));
            }
        }
    }
    CHECK(world.fleet.violations.empty());
    CHECK(world.fleet.totals.started > 40);
}

TEST_CASE("P1: an attempt whose limit the worker does not report counts as using the whole worker")
{
    WorkerTestWorld world{WorkerTestSettings()};
    world.fleet.reportsLimits = false;
    world.fleet.behaviourOf = [](const TaskCommand &) {
        FakeTaskBehaviour behaviour;
        behaviour.duration = std::chrono::seconds(30);
        return behaviour;
    };
    world.addJob("job", 8, {2000, 4000, 0});
    world.world.runFor(std::chrono::seconds(5));
    world.killNode("n0");
    world.addJob("more", 140, {1000, 2000, 0});
    REQUIRE(world.runUntilDone(148, std::chrono::minutes(30)));
    CHECK(world.fleet.violations.empty());
}
