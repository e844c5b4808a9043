// A coordinator that was cut off, and what it takes for fresh when it is reached again.
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

// Guards against orders under an old term: pings that were held up while the coordinator was cut off arrive late and
// count as fresh, so that the coordinator takes its term for confirmed.
TEST_CASE("pings that were sent before a coordinator was replaced do not confirm its term when they arrive late")
{
    constexpr int nodes = 3;
    const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 2, 1);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(1500), false);
    };
    const int cut = world->coordinator();
    const NodeId cutNode = "node-" + std::to_string(cut);
    world->submit(cut, jobA, workflowOf({simpleStep(30)}));
    world->run(Milliseconds(1000));

    world->network.setHeld(cutNode, true);
    world->storeFaults(cut).down = true;
    for (const char *worker : {"w0", "w1"}) {
        world->workers.find(worker)->cutFrom.insert(cutNode);
    }
    world->run(Milliseconds(450));
    world->network.setIsolated(cutNode, true); // Later messages, such as news of the next term, are lost.
    for (int i = 0; i < nodes; ++i) {
        if (i != cut) {
            world->workers.find("w1")->cutFrom.insert("node-"
                                                      + std::to_string(i)); // It does not hear of the next term.
        }
    }
    world->run(std::chrono::seconds(9));
    REQUIRE(world->coordinator() >= 0);

    world->workers.find("w1")->cutFrom.erase(cutNode);
    world->network.setHeld(cutNode, false);
    const TimePoint releasedAt = world->world.now();
    world->run(std::chrono::seconds(3));
    for (const SimWorkers::RunRecord &run : world->workers.runs()) {
        CHECK_FALSE((run.term == 1 && run.began > releasedAt));
    }
    CHECK(world->workers.tasksRunTwice().empty());
}
