// Load pattern: a large fleet whose room is nearly all declared by long-running tasks, a backlog of steps that no
// worker has room for, and short tasks that go on starting. What a start costs is counted, not timed.
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

constexpr int fleetSize = 1100;
constexpr std::int64_t cores = 32;
constexpr int servingImages = 16;
/// A coordinator on a quarter of a core has 110 us for each of 2,200 starts a second. A look at a worker takes about a
/// quarter of a microsecond, and the search for a place may take a tenth of the time.
constexpr double maxConsideredPerStart = 44;

JobId jobNumber(int i)
{
    return "c0000000000" + std::to_string(10000 + i);
}

/// Serving tasks of several images declare all but two cores of each worker.
void fillWithServing(WorkflowWorld *world)
{
    for (int i = 0; i < servingImages * 2; ++i) {
        StepSpec step = simpleStep(fleetSize * 5 / (servingImages * 2));
        step.perTask.milliCores = 6000;
        step.longRunning = true;
        step.image = "serving" + std::to_string(i % servingImages);
        step.tailTarget = Milliseconds(20);
        world->submit(0, jobNumber(i), workflowOf({step}), "urgent");
    }
    world->run(std::chrono::seconds(4));
}

/// Steps of @p jobs jobs that find no room, each of another size and, where they serve, of another image.
void submitWithoutRoom(WorkflowWorld *world, int jobs)
{
    for (int i = 0; i < jobs; ++i) {
        StepSpec step = simpleStep(20);
        step.perTask.milliCores = 9000 - i * 20;
        step.perTask.memoryMb = 200 + i;
        step.longRunning = i % 2 == 0;
        step.image = step.longRunning ? "serving" + std::to_string(i % servingImages) : std::string();
        step.tailTarget = Milliseconds(step.longRunning ? 20 : 0);
        step.maxPerWorker = i % 4 == 0 ? 2 : 0;
        world->submit(0, jobNumber(1000 + i), workflowOf({step}));
    }
}

} // namespace

// Guards against a coordinator whose processor is full of searches for places that do not exist (SHORT): each run of
// the dispatch looked at the whole fleet for each waiting step, so starts took longer the more was waiting.
TEST_CASE("a backlog without room does not make the starts beside it dearer")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, fleetSize, cores);
    world->workers.workOf = [](const TaskKey &key) {
        return std::make_pair(Milliseconds(key.job < jobNumber(2000) ? 600000 : 300), false);
    };
    fillWithServing(world.get());
    submitWithoutRoom(world.get(), 80);
    world->run(std::chrono::seconds(2));
    MemoryLog &log = world->log(0);
    const std::size_t linesBefore = log.lines.size();
    const std::size_t startsBefore = log.count("run_start");
    for (int i = 0; i < 60; ++i) {
        world->submitLater(0, jobNumber(2000 + i), workflowOf({simpleStep(40)}), [](const CallerAnswer &) {});
        world->run(Milliseconds(50));
    }
    const double starts = static_cast<double>(log.count("run_start") - startsBefore);
    const double considered = static_cast<double>(log.sum("coordinator_load", "considered", linesBefore));
    CAPTURE(starts, considered, considered / starts);
    REQUIRE(starts >= 2000);
    CHECK(considered / starts <= maxConsideredPerStart);
}

// Guards against a coordinator that spends its processor time on observations (SHORT): each end of a run was observed
// by itself, however late the loop was, and each answer lists all runs on the worker.
TEST_CASE("a coordinator with a late loop collects several run ends in one observation")
{
    constexpr int workers = 40;
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, workers, cores);
    world->workers.workOf = [](const TaskKey &key) {
        return std::make_pair(Milliseconds(100 + 10 * (key.index % 20)), false);
    };
    const auto observationsPerSecond = [&world](int firstJob, Duration busy, const std::string &queue) {
        constexpr std::chrono::seconds span{4};
        constexpr Milliseconds turn{120};
        MemoryLog &log = world->log(0);
        const std::size_t linesBefore = log.lines.size();
        int job = firstJob;
        for (const TimePoint end = world->world.now() + span; world->world.now() < end;) {
            world->submit(0, jobNumber(job++), workflowOf({simpleStep(workers)}), queue);
            world->run(turn - busy);
            world->pause(0);
            world->run(busy);
            world->resume(0);
        }
        return log.sum("coordinator_load", "observations", linesBefore) / span.count();
    };
    const std::int64_t onTime = observationsPerSecond(0, Milliseconds(0), "batch");
    const std::int64_t late = observationsPerSecond(1000, Milliseconds(100), "batch");
    const std::int64_t urgent = observationsPerSecond(2000, Milliseconds(100), "urgent");
    CAPTURE(onTime, late, urgent);
    CHECK(onTime > 5 * workers);
    CHECK(late <= 5 * workers); // The loop is about 50 ms late, so a pause takes 200 ms.
    CHECK(urgent > 5 * workers); // The callers of urgent jobs wait for the ends of their runs.
    CHECK(world->workers.tasksRunTwice().empty());
}
