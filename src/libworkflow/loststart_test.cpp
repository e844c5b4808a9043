// Start orders that are lost on their way to a worker that is well.
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

// Guards against tasks that start seconds late: each question about a start that was lost waited for the end of some
// run on its worker, so the worker's refusal and the list without the run took up to 0.8 s each.
TEST_CASE("a start order that is lost is repeated without waiting for other runs to end")
{
    constexpr int workers = 3;
    constexpr std::chrono::minutes never{10};
    constexpr Milliseconds startAgain{1500}; // The call's timeout, one observation in progress, and a few calls.
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, workers);
    world->delayStarts(0, never);
    world->submit(0, jobA, workflowOf({simpleStep(workers)}));
    const TimePoint submittedAt = world->world.now();
    world->run(Milliseconds(100));
    world->delayStarts(0, Milliseconds(0));
    REQUIRE(reachesState(*world, 0, jobA, "complete", std::chrono::seconds(10)));
    for (const SimWorkers::RunRecord &run : world->workers.runsOf(jobA)) {
        CHECK(run.began - submittedAt < startAgain);
    }
}
