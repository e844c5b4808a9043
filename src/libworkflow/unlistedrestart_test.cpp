// A start order that is under way while its worker is gone from the list and comes back under its id.
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

// Guards against a task at work twice: the entry of a silent worker was removed, so its lease was taken for the end of
// the start order as well; then the worker was back, and the order reached it.
TEST_CASE("a start order that reaches a worker which was not listed for a while does not run a task twice")
{
    constexpr int nodes = 3;
    constexpr int workers = 6;
    for (const int delay : {5000, 7000, 9000}) {
        for (const int down : {1000, 4500, 5500, 6500}) {
            for (const int unlistedAfter : {900, 3000, 4400}) {
                if (unlistedAfter >= down) {
                    continue;
                }
                INFO("under way for " << delay << " ms, unlisted after " << unlistedAfter << " ms, back after " << down
                                      << " ms");
                const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, workers);
                world->workers.workOf = [](const TaskKey &) {
                    return std::make_pair(Milliseconds(3000), false);
                };
                world->submit(0, jobB, workflowOf({simpleStep(2 * workers)}));
                world->run(Milliseconds(300));
                world->delayStarts(world->coordinator(), Milliseconds(delay));
                world->submit(0, jobA, workflowOf({simpleStep(workers)}));
                world->run(Milliseconds(3));
                world->workers.crash("w0");
                world->run(Milliseconds(97));
                world->delayStarts(world->coordinator(), Milliseconds(0));
                world->run(Milliseconds(unlistedAfter - 97));
                world->workers.unlist("w0");
                world->run(Milliseconds(down - unlistedAfter));
                world->workers.restart("w0");
                world->workers.list("w0");
                CHECK(reachesState(*world, 0, jobA, "complete", std::chrono::seconds(60)));
                CHECK(reachesState(*world, 0, jobB, "complete", std::chrono::seconds(60)));
                world->run(Milliseconds(delay));
                CHECK(world->workers.tasksRunTwice().empty());
            }
        }
    }
}
