// Load pattern: a fleet that is full of short urgent tasks, and a long-running task that needs a large piece of room.
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

/// By the users' definition, a long-running task is lost if it does not run for this long while there is room for it.
constexpr Milliseconds maxLastingIdleTime{9000};
constexpr Milliseconds submitInterval{100};
const JobId lastingJob = "3000000000000000";

/// Submits urgent jobs for @p span, more than the fleet has room for.
void keepFull(WorkflowWorld *world, Duration span)
{
    const TimePoint until = world->world.now() + span;
    while (world->world.now() < until) {
        const auto time = std::chrono::duration_cast<Milliseconds>(world->world.now().time_since_epoch());
        const std::string number = std::to_string(100000 + time.count());
        world->submit(0, "b000000000" + number, workflowOf({simpleStep(3)}), "urgent");
        world->run(submitInterval);
    }
}

StepSpec lastingStep()
{
    StepSpec step = simpleStep(1);
    step.perTask.milliCores = 3000;
    step.longRunning = true;
    return step;
}

std::unique_ptr<WorkflowWorld> fullWorld()
{
    std::unique_ptr<WorkflowWorld> world = readyWorld(1, 2);
    world->workers.workOf = [](const TaskKey &key) {
        return std::make_pair(Milliseconds(key.job == lastingJob ? 600000 : 300 + 70 * key.index), false);
    };
    return world;
}

} // namespace

// Guards against LOST: room that comes free goes to shorter tasks at once, so a long-running task never finds enough.
TEST_CASE("a long-running task gets a worker while short tasks take each piece of room that comes free")
{
    const std::unique_ptr<WorkflowWorld> world = fullWorld();
    keepFull(world.get(), std::chrono::seconds(2));
    const TimePoint since = world->world.now();
    world->submit(0, lastingJob, workflowOf({lastingStep()}));
    keepFull(world.get(), maxLastingIdleTime);
    REQUIRE(world->workers.runsOf(lastingJob).size() == 1);
    CHECK(world->workers.runsOf(lastingJob).front().began - since < maxLastingIdleTime);
}

// Guards against a worker that is kept free for a job that has been cancelled.
TEST_CASE("a worker that is held for a cancelled job gets other tasks again")
{
    const std::unique_ptr<WorkflowWorld> world = fullWorld();
    StepSpec huge = lastingStep();
    huge.perTask.milliCores = 4000;
    keepFull(world.get(), std::chrono::seconds(2));
    world->submit(0, lastingJob, workflowOf({huge}));
    keepFull(world.get(), Milliseconds(1600));
    world->cancel(0, lastingJob);
    keepFull(world.get(), Milliseconds(1500));
    const TimePoint cancelledAt = world->world.now() - Milliseconds(1500);
    std::set<WorkerId> used;
    for (const SimWorkers::RunRecord &run : world->workers.runs()) {
        if (run.began > cancelledAt) {
            used.insert(run.worker);
        }
    }
    CHECK(used.size() == 2);
}
