// Load pattern: a fleet that is full of short tasks, and a job of wide tasks that needs large pieces of room.
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

constexpr Milliseconds submitInterval{100};
const JobId wideJob = "3000000000000000";

/// A world of one node and two workers of four cores each; nothing else differs with @p lookAhead.
std::unique_ptr<WorkflowWorld> worldWith(bool lookAhead)
{
    std::unique_ptr<WorkflowWorld> world = readyWorld(1, 2);
    world->kill(0);
    world->settings.lookAhead = lookAhead;
    world->startNode(0);
    world->run(std::chrono::seconds(8));
    REQUIRE(world->coordinator() == 0);
    world->workers.workOf = [](const TaskKey &key) {
        return std::make_pair(Milliseconds(key.job == wideJob ? 500 : 300 + 70 * key.index), false);
    };
    return world;
}

/// Submits short jobs for @p span, more than the fleet has room for. Returns how many.
int keepFull(WorkflowWorld *world, Duration span)
{
    int submitted = 0;
    const TimePoint until = world->world.now() + span;
    while (world->world.now() < until) {
        const auto time = std::chrono::duration_cast<Milliseconds>(world->world.now().time_since_epoch());
        world->submit(0, "b000000000" + std::to_string(100000 + time.count()), workflowOf({simpleStep(3)}), "urgent");
        world->run(submitInterval);
        ++submitted;
    }
    return submitted;
}

StepSpec wideStep()
{
    StepSpec step = simpleStep(2);
    step.perTask.milliCores = 4000; // All of a worker.
    step.estimate = Milliseconds(500);
    return step;
}

/// How long the wide job waits until it is complete, at most @p limit.
Duration waitOfWideJob(WorkflowWorld *world, Duration limit)
{
    keepFull(world, std::chrono::seconds(2));
    const TimePoint since = world->world.now();
    world->submit(0, wideJob, workflowOf({wideStep()}));
    while (world->world.now() < since + limit && world->state(0, wideJob) != "complete") {
        keepFull(world, Milliseconds(500));
    }
    return world->world.now() - since;
}

} // namespace

// Guards against a wide task that waits for good because each piece of room goes to a shorter one at once.
TEST_CASE("wide tasks get room among short ones with look-ahead, and not without")
{
    constexpr std::chrono::seconds limit{15};
    CHECK(waitOfWideJob(worldWith(true).get(), limit) < limit);
    CHECK(waitOfWideJob(worldWith(false).get(), limit) >= limit);
}

// Guards against workers that stay idle while a reservation waits for its room: short tasks fill the time until then.
TEST_CASE("short tasks still start on a reserved worker if they end in time")
{
    const std::unique_ptr<WorkflowWorld> world = worldWith(true);
    StepSpec lasting = simpleStep(1);
    lasting.perTask.milliCores = 1000;
    lasting.estimate = Milliseconds(6000);
    world->workers.workOf = [](const TaskKey &key) {
        return std::make_pair(Milliseconds(key.job[0] == 'c' ? 6000 : 100), false);
    };
    world->submit(0, "c000000000000000", workflowOf({lasting}));
    world->submit(0, "c000000000000001", workflowOf({lasting}));
    world->run(Milliseconds(500));
    world->submit(0, wideJob, workflowOf({wideStep()}));
    world->run(Milliseconds(2500));
    REQUIRE(world->countInLogs("worker_held") >= 1);
    const TimePoint reservedAt = world->world.now();
    world->submit(0, "d000000000000000", workflowOf({simpleStep(6)}), "urgent");
    CHECK(reachesState(*world, 0, "d000000000000000", "complete", std::chrono::seconds(1)));
    CHECK(world->world.now() - reservedAt < std::chrono::seconds(1));
    CHECK(reachesState(*world, 0, wideJob, "complete", std::chrono::seconds(8)));
}

// Guards against short tasks that wait because a search for longer ones of the same size has failed at a reservation.
TEST_CASE("a long task that a reservation keeps out does not keep out short ones")
{
    const std::unique_ptr<WorkflowWorld> world = worldWith(true);
    StepSpec lasting = simpleStep(2);
    lasting.perTask.milliCores = 1000;
    lasting.maxPerWorker = 1;
    lasting.estimate = Milliseconds(7000);
    world->workers.workOf = [](const TaskKey &key) {
        return std::make_pair(Milliseconds(key.job[0] == 'c' ? 7000 : 100), false);
    };
    world->submit(0, "c000000000000000", workflowOf({lasting}));
    world->run(Milliseconds(500));
    StepSpec wide = wideStep();
    wide.count = 1;
    world->submit(0, wideJob, workflowOf({wide}));
    world->run(Milliseconds(2500));
    REQUIRE(world->countInLogs("worker_held") >= 1);
    // Fills the worker that isn't reserved, and then finds only the reserved one.
    StepSpec longStep = simpleStep(6);
    longStep.estimate = Milliseconds(60000);
    const JobId longJob = "c000000000000001";
    world->submit(0, longJob, workflowOf({longStep}));
    world->run(Milliseconds(100));
    REQUIRE(world->workers.runsOf(longJob).size() == 3);
    const JobId shortJob = "d000000000000000";
    world->submit(0, shortJob, workflowOf({simpleStep(1)}));
    world->run(Milliseconds(200));
    CHECK(world->workers.runsOf(shortJob).size() == 1);
}

// Guards against a coordinator that takes over and reserves nothing, or reserves for what has run.
TEST_CASE("a new coordinator reserves anew from what waits")
{
    std::unique_ptr<WorkflowWorld> world = readyWorld(2, 2);
    for (int node = 0; node < 2; ++node) {
        world->kill(node);
    }
    world->settings.lookAhead = true;
    for (int node = 0; node < 2; ++node) {
        world->startNode(node);
    }
    world->run(std::chrono::seconds(8));
    REQUIRE(world->coordinator() >= 0);
    world->workers.workOf = [](const TaskKey &key) {
        return std::make_pair(Milliseconds(key.job == wideJob ? 500 : 300 + 70 * key.index), false);
    };
    const int first = world->coordinator();
    const int other = otherThan(first, 2);
    world->submit(other, wideJob, workflowOf({wideStep()}));
    world->kill(first);
    CHECK(reachesState(*world, other, wideJob, "complete", std::chrono::seconds(15)));
}
