// Workers that restart under their ids while nothing runs on them, so that no observation shows it.
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

constexpr int nodes = 3;
constexpr Milliseconds workTime{3000};
/// Lease, drift and margin, a restart of the task and its work.
constexpr std::chrono::seconds restartLimit{10};
/// The same with the longest lease that a worker accepts.
constexpr std::chrono::seconds longestRestartLimit{16};

std::unique_ptr<WorkflowWorld> worldOfLongRuns(int workers)
{
    std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, workers);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(workTime, false);
    };
    return world;
}

/// Restarts @p count workers that run nothing.
void restartIdle(WorkflowWorld *world, int count, bool isAnnounced)
{
    for (int i = 0; i < count; ++i) {
        world->workers.crash("w" + std::to_string(i));
    }
    world->run(std::chrono::seconds(2));
    for (int i = 0; i < count; ++i) {
        world->workers.restart("w" + std::to_string(i), isAnnounced);
    }
}

/// Submits jobA, and crashes its worker for good 2 s after the start. Whether the task is done elsewhere within @p
/// limit.
bool isDoneElsewhere(WorkflowWorld *world, Duration limit)
{
    world->submit(0, jobA, workflowOf({simpleStep(1)}));
    REQUIRE(world->runUntil(
        [world] {
            return !world->workers.runsOf(jobA).empty();
        },
        std::chrono::seconds(5)));
    world->run(std::chrono::seconds(2));
    const WorkerId lost = world->workers.runsOf(jobA).back().worker;
    world->workers.crash(lost);
    world->workers.unlist(lost);
    return reachesState(*world, 0, jobA, "complete", limit);
}

} // namespace

// Guards against a job given up without a run: its starts went to incarnations that had ended before, and the missing
// answers were taken for crashes under the task.
TEST_CASE("workers that restarted while idle do not count as crashed by the tasks sent to them")
{
    for (const bool isAnnounced : {true, false}) {
        INFO("announced " << isAnnounced);
        const std::unique_ptr<WorkflowWorld> world = worldOfLongRuns(22);
        world->workers.connectionsOutliveCrashes = true;
        restartIdle(world.get(), 22, isAnnounced);
        world->run(std::chrono::seconds(isAnnounced ? 10 : 0));
        world->submit(0, jobA, workflowOf({simpleStep(1)}));
        CHECK(reachesState(*world, 0, jobA, "complete", restartLimit));
        CHECK(world->countInLogs("run_crashed") == 0);
        CHECK(world->workers.tasksRunTwice().empty());
    }
}

// Guards against a task that waits as long as its lost worker had been up before a restart: the lease was computed on
// the clock of the former incarnation.
TEST_CASE("the lease of a worker that restarted while idle does not end on the clock of its former incarnation")
{
    for (const bool isAnnounced : {true, false}) {
        INFO("announced " << isAnnounced);
        const std::unique_ptr<WorkflowWorld> world = worldOfLongRuns(1);
        world->run(std::chrono::seconds(60));
        restartIdle(world.get(), 1, isAnnounced);
        world->run(std::chrono::seconds(isAnnounced ? 6 : 0));
        const auto addSpare = [&world] {
            Resources capacity;
            capacity.milliCores = 4000;
            capacity.memoryMb = 100000;
            world->workers.add("w9", "dc-a", "r9", capacity);
        };
        world->world.after(std::chrono::seconds(2), addSpare);
        CHECK(isDoneElsewhere(world.get(), isAnnounced ? restartLimit : longestRestartLimit));
        CHECK(world->workers.tasksRunTwice().empty());
    }
}
