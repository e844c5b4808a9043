// A start order that is still under way when the worker that has confirmed a stop of it restarts.
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

// Guards against a task at work twice: its start timed out, its worker confirmed the stop and restarted, and then the
// order reached the next incarnation, which knows of no stop.
TEST_CASE("a start order that was stopped does not run a task twice when its worker restarts")
{
    constexpr int nodes = 3;
    constexpr int workers = 6;
    for (const int delay : {1500, 2000, 2500, 3000, 4000, 5000, 6000}) {
        INFO("under way for " << delay << " ms");
        const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, workers);
        world->workers.workOf = [](const TaskKey &) {
            return std::make_pair(Milliseconds(3000), false);
        };
        world->delayStarts(world->coordinator(), Milliseconds(delay));
        world->submit(0, jobA, workflowOf({simpleStep(workers)}));
        world->run(Milliseconds(100));
        world->delayStarts(world->coordinator(), Milliseconds(0));
        REQUIRE(world->runUntil(
            [&world] {
                return world->countInLogs("run_missing") > 0; // A start has timed out and is stopped.
            },
            std::chrono::seconds(4)));
        for (const char *id : {"w0", "w2", "w4"}) {
            world->workers.crash(id);
            world->workers.restart(id);
        }
        CHECK(reachesState(*world, 0, jobA, "complete", std::chrono::seconds(60)));
        world->run(Milliseconds(delay)); // Until the last order has arrived.
        CHECK(world->workers.tasksRunTwice().empty());
    }
}

// Guards against a task at work twice: its worker had confirmed the stop of an earlier start that had been sent to the
// former incarnation. That start then arrived and was refused, but its lease, a time on the former clock, was taken
// over; the worker was cut off, and its other runs outlasted the lease that the coordinator had reckoned with.
TEST_CASE("the lease of a start that was stopped and refused does not let other runs outlast the known lease")
{
    constexpr int nodes = 3;
    constexpr Milliseconds delay{6000};
    constexpr std::chrono::seconds jobLimit{90};
    const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 1);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(20000), false);
    };
    world->run(std::chrono::seconds(60));
    world->delayStarts(world->coordinator(), delay);
    world->submit(0, jobA, workflowOf({simpleStep(1)}));
    const TimePoint sentAt = world->world.now();
    world->run(Milliseconds(100));
    world->delayStarts(world->coordinator(), Milliseconds(0));
    world->workers.crash("w0");
    world->workers.restart("w0");
    world->run(std::chrono::seconds(3));
    REQUIRE(world->workers.runsOf(jobA).size() == 1); // It has been stopped, and started again.
    world->run(sentAt + Duration(delay) + Milliseconds(50) - world->world.now());
    Resources capacity;
    capacity.milliCores = 4000;
    capacity.memoryMb = 100000;
    world->workers.add("w9", "dc-a", "r9", capacity);
    for (int i = 0; i < nodes; ++i) {
        world->workers.find("w0")->cutFrom.insert("node-" + std::to_string(i));
    }
    CHECK(reachesState(*world, 0, jobA, "complete", jobLimit));
    CHECK(world->workers.tasksRunTwice().empty());
}
