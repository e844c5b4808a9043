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
