// Workers that refuse stop orders for a while.
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

// Guards against a coordinator that spends its time on stop orders: a refused stop of a start without an answer was
// sent again as soon as the worker had been observed, hundreds of times a second.
TEST_CASE("a stop of an unanswered start that is refused is repeated at intervals only")
{
    constexpr int nodes = 3;
    constexpr int workers = 6;
    constexpr int seconds = 5;
    constexpr int tasks = 2; // At most so many starts are under way to one worker.
    const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, workers);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(3000), false);
    };
    const int coordinator = world->coordinator();
    world->delayStarts(coordinator, Milliseconds(2000));
    world->submit(0, jobA, workflowOf({simpleStep(workers)}));
    world->run(Milliseconds(20));
    world->refuseStops(coordinator, true);
    for (int i = 0; i < workers; ++i) {
        world->workers.crash("w" + std::to_string(i));
        world->workers.restart("w" + std::to_string(i));
    }
    world->run(Milliseconds(20));
    world->delayStarts(coordinator, Milliseconds(0));
    const int before = world->stopsSent(coordinator);
    world->run(std::chrono::seconds(seconds));
    const int perSecond = 1000 / 200 + 1; // See CoordinatorSettings::orderRetryDelay.
    CHECK(world->stopsSent(coordinator) - before <= seconds * perSecond * workers * tasks);
    world->refuseStops(coordinator, false);
    CHECK(reachesState(*world, 0, jobA, "complete", std::chrono::seconds(60)));
    CHECK(world->workers.tasksRunTwice().empty());
}
