// Load pattern: jobs wait for room while the coordinator changes and unreachable workers join the fleet.
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

constexpr int unreachableWorkers = 10;
/// By the users' definition, a job is lost if nothing of it runs for this long while there is room for it.
constexpr Milliseconds maxJobIdleTime{3000};
/// By then the leases of earlier coordinators have expired, so what they may have started is known.
constexpr Milliseconds leaseExpiryTimeout{6000};

/// Two nodes and two workers that a job fills for four seconds; another job waits for room.
std::unique_ptr<WorkflowWorld> worldWithWaitingJob()
{
    std::unique_ptr<WorkflowWorld> world = readyWorld(2, 2, 1);
    world->workers.workOf = [](const TaskKey &key) {
        return std::make_pair(Milliseconds(key.job == jobB ? 4000 : 100), false);
    };
    const int first = world->coordinator();
    world->submit(first, jobB, workflowOf({simpleStep(2)}));
    world->run(Milliseconds(200));
    world->submit(first, jobA, workflowOf({simpleStep(1)}));
    world->run(Milliseconds(500));
    return world;
}

void addUnreachableWorker(WorkflowWorld *world, const WorkerId &id)
{
    Resources capacity;
    capacity.milliCores = 1000;
    capacity.memoryMb = 100000;
    world->workers.add(id, "dc-a", "r9", capacity)->cutFrom = {"node-0", "node-1"};
}

/// When room for the waiting job became free.
TimePoint roomSince(WorkflowWorld *world)
{
    TimePoint since = TimePoint::max();
    for (const SimWorkers::RunRecord &run : world->workers.runsOf(jobB)) {
        since = run.ended == TimePoint{} ? since : std::min(since, run.ended);
    }
    return since;
}

} // namespace

// Guards against jobs of an earlier term that wait for workers which no earlier coordinator can know of.
TEST_CASE("unreachable workers that are listed after a takeover delay no job of an earlier term")
{
    const std::unique_ptr<WorkflowWorld> world = worldWithWaitingJob();
    const int first = world->coordinator();
    world->kill(first);
    world->run(Milliseconds(2500));
    REQUIRE(world->coordinator() == otherThan(first, 2));
    for (int i = 0; i < unreachableWorkers; ++i) {
        const WorkerId id = "dark" + std::to_string(i);
        addUnreachableWorker(world.get(), id);
        world->run(maxJobIdleTime);
        world->workers.unlist(id);
    }
    REQUIRE_FALSE(world->workers.runsOf(jobA).empty());
    CHECK((world->workers.runsOf(jobA).front().began - roomSince(world.get())) < maxJobIdleTime);
}

// Guards against the same if such workers also join before the takeover.
TEST_CASE("unreachable workers that keep joining and leaving delay a job of an earlier term by a lease at most")
{
    const std::unique_ptr<WorkflowWorld> world = worldWithWaitingJob();
    const int first = world->coordinator();
    for (int i = 0; i < unreachableWorkers; ++i) {
        const WorkerId id = "dark" + std::to_string(i);
        addUnreachableWorker(world.get(), id);
        world->run(Milliseconds(2000));
        if (i == 0) {
            world->kill(first);
        }
        world->run(Milliseconds(1000));
        world->workers.unlist(id);
    }
    CHECK(world->coordinator() == otherThan(first, 2));
    REQUIRE_FALSE(world->workers.runsOf(jobA).empty());
    CHECK((world->workers.runsOf(jobA).front().began - roomSince(world.get())) < leaseExpiryTimeout);
}
