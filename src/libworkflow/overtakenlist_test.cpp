// The first list of a worker's next incarnation, overtaken by the answer to a start order that this incarnation has
// carried out: the list was made before.
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <catch2/catch.hpp>
#include <string>

using namespace fescueledge;
using namespace fescueledge::workflow;

// Guards against a task at work twice: the start was answered, so its run counted as seen, and then a list that was
// made before the order arrived counted as its end.
TEST_CASE("a list made before a start was carried out does not end its run when the answers change places")
{
    constexpr int nodes = 3;
    constexpr int workers = 6;
    constexpr Milliseconds untilCrash{3};
    constexpr Milliseconds downTime{6};
    for (const int delay : {20, 50, 100, 200, 300}) {
        for (const int heldUp : {0, 30, 75, 150, 250, 400}) {
            INFO("under way for " << delay << " ms, list held up for " << heldUp << " ms");
            const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, workers);
            world->workers.workOf = [](const TaskKey &) {
                return std::make_pair(Milliseconds(3000), false);
            };
            world->submit(0, jobB, workflowOf({simpleStep(workers)}));
            world->run(Milliseconds(300));
            world->delayStarts(world->coordinator(), Milliseconds(delay), true);
            world->submit(0, jobA, workflowOf({simpleStep(1)}));
            world->run(untilCrash);
            for (int i = 0; i < workers; ++i) { // All of them, so that no task is suspected of it.
                world->workers.crash("w" + std::to_string(i));
            }
            world->run(downTime);
            for (int i = 0; i < workers; ++i) {
                world->workers.restart("w" + std::to_string(i));
            }
            world->delayObservationAnswers(world->coordinator(), Milliseconds(heldUp));
            world->run(Milliseconds(100));
            world->delayStarts(world->coordinator(), Milliseconds(0));
            world->run(Milliseconds(delay + heldUp));
            world->delayObservationAnswers(world->coordinator(), Milliseconds(0));
            CHECK(reachesState(*world, 0, jobA, "complete", std::chrono::seconds(60)));
            CHECK(reachesState(*world, 0, jobB, "complete", std::chrono::seconds(60)));
            CHECK(world->workers.tasksRunTwice().empty());
        }
    }
}
