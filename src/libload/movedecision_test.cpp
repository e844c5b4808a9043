// Load pattern: tasks are slowed down for some seconds because the load of the tasks beside them swings.
#include "fescueledge/load/movedecision.h"

#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::load;

namespace {

constexpr std::chrono::milliseconds overhead{600};

/// A task of ten seconds with half of its work done, paused for two seconds.
SlowedTask pausedTask()
{
    SlowedTask task;
    task.savesProgress = true;
    task.expected = std::chrono::seconds(10);
    task.worked = std::chrono::seconds(5);
    task.percentDone = 50;
    task.percentGained = 50;
    task.pace = 0;
    task.slowedFor = std::chrono::seconds(2);
    return task;
}

bool isMoved(const SlowedTask &task, Duration moveOverhead = overhead)
{
    return MoveDecision(moveOverhead).forecast(task).isWorthwhile;
}

} // namespace

TEST_CASE("a paused task with a checkpoint is moved")
{
    const MoveForecast forecast = MoveDecision(overhead).forecast(pausedTask());
    CHECK(forecast.isWorthwhile);
    CHECK(forecast.left == std::chrono::seconds(5));
    CHECK(forecast.lost == Duration::zero());
    CHECK(forecast.stay == std::chrono::seconds(7));
    CHECK(forecast.move == std::chrono::milliseconds(5600));
}

// Guards against moves that throw away the work of tasks without checkpoints.
TEST_CASE("a task that saves nothing is moved only while it has done little")
{
    SlowedTask task = pausedTask();
    task.savesProgress = false;
    CHECK_FALSE(isMoved(task));
    CHECK(MoveDecision(overhead).forecast(task).lost == std::chrono::seconds(5));
    task.worked = std::chrono::milliseconds(200);
    task.percentDone = 2;
    task.percentGained = 2;
    CHECK(isMoved(task));
}

// Guards against a new coordinator that takes a run for young because it has not watched it before.
TEST_CASE("work that was done before the run was watched counts as lost too")
{
    SlowedTask task = pausedTask();
    task.savesProgress = false;
    task.worked = Duration::zero();
    task.percentGained = 0;
    CHECK_FALSE(isMoved(task));
}

// Guards against moves of nearly all fillers at each swing of the load, most of which lasts for a moment.
TEST_CASE("a task is not moved when it has been slowed for a moment only")
{
    SlowedTask task = pausedTask();
    task.slowedFor = std::chrono::milliseconds(200);
    CHECK_FALSE(isMoved(task));
    task.slowedFor = std::chrono::milliseconds(900);
    CHECK(isMoved(task));
}

// Guards against a low pace that is taken to last until the end of a long task.
TEST_CASE("a low pace is not extrapolated without bound")
{
    SlowedTask task = pausedTask();
    task.slowedFor = std::chrono::minutes(10);
    task.savesProgress = false;
    task.expected = std::chrono::minutes(2);
    task.worked = std::chrono::seconds(6);
    task.percentDone = 5;
    task.percentGained = 5;
    CHECK_FALSE(isMoved(task));
}

TEST_CASE("a task near its end, at a pace at which it soon gets there, is not moved")
{
    SlowedTask task = pausedTask();
    task.pace = 40;
    task.worked = std::chrono::milliseconds(9700);
    task.percentDone = 97;
    task.percentGained = 97;
    CHECK_FALSE(isMoved(task));
    task.percentDone = 100;
    CHECK_FALSE(isMoved(task));
    task.pace = 0;
    CHECK_FALSE(isMoved(task));
}

// Guards against estimates that are off: 0.2 to 0.9 of the task's duration, or as many times more.
TEST_CASE("the observed rate of a task counts, not its estimate")
{
    for (const Duration estimate : {Duration(std::chrono::seconds(1)), Duration(std::chrono::seconds(19))}) {
        SlowedTask task = pausedTask();
        task.expected = estimate;
        CHECK(MoveDecision(overhead).forecast(task).left == std::chrono::seconds(5));
    }
}

TEST_CASE("a task that resumed from a checkpoint has the rate of its present run")
{
    SlowedTask task = pausedTask();
    task.worked = std::chrono::seconds(1);
    task.percentDone = 80;
    task.percentGained = 20;
    CHECK(MoveDecision(overhead).forecast(task).left == std::chrono::seconds(1));
}

TEST_CASE("without an estimate or a rate, a task that loses nothing is moved")
{
    SlowedTask task = pausedTask();
    task.expected = Duration::zero();
    task.percentDone = 0;
    task.percentGained = 0;
    task.worked = Duration::zero();
    CHECK(isMoved(task));
}

TEST_CASE("a slow restore keeps a task where it is")
{
    CHECK(isMoved(pausedTask(), std::chrono::milliseconds(1000)));
    CHECK_FALSE(isMoved(pausedTask(), std::chrono::milliseconds(1800)));
}

// Endless tasks report 100 percent once they have started up.
TEST_CASE("an endless task has no end that it is near to")
{
    SlowedTask task = pausedTask();
    task.isEndless = true;
    task.savesProgress = false;
    task.percentDone = 100;
    CHECK(isMoved(task));
    task.slowedFor = std::chrono::milliseconds(200);
    CHECK(isMoved(task));
}
