// Load pattern: a fleet that is full of short tasks, while wide tasks wait. What a start costs with look-ahead is
// compared with the same without it.
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <catch2/catch.hpp>
#include <ctime>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

JobId jobNumber(int i)
{
    return "c0000000000" + std::to_string(10000 + i);
}

Duration processorTime()
{
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

constexpr int shortWorkMs = 1000;

/// What starts cost.
struct StartCost
{
    double starts = 0;
    double considered = 0; ///< Workers looked at for each start.
    double microseconds = 0; ///< Processor time of the whole simulation for each start.
    std::size_t reservations = 0;
};

/// The cost of starts on @p workers workers of four cores that short tasks fill, while wide tasks wait.
StartCost costBesideWideTasks(int workers, bool lookAhead)
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, workers);
    world->kill(0);
    world->settings.lookAhead = lookAhead;
    world->startNode(0);
    world->run(std::chrono::seconds(8));
    REQUIRE(world->coordinator() == 0);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(shortWorkMs), false);
    };
    // 42 tasks for 40 cores, so that the fleet is full in both cases; each job has the short tasks of 50 ms.
    StepSpec shortStep = simpleStep(static_cast<std::uint32_t>(workers * 4 * 105 / 100 / (shortWorkMs / 50)));
    shortStep.estimate = Milliseconds(shortWorkMs);
    int job = 0;
    const auto keepBusy = [&world, &shortStep, &job](Duration span) {
        for (const TimePoint until = world->world.now() + span; world->world.now() < until;) {
            world->submitLater(0, jobNumber(job++), workflowOf({shortStep}), [](const CallerAnswer &) {});
            world->run(Milliseconds(50));
        }
    };
    keepBusy(std::chrono::seconds(2));
    for (int i = 0; i < 40; ++i) {
        StepSpec wide = simpleStep(20);
        wide.perTask.milliCores = 4000 - 20 * i;
        wide.estimate = Milliseconds(shortWorkMs);
        world->submit(0, jobNumber(5000 + i), workflowOf({wide}));
    }
    keepBusy(std::chrono::seconds(2));
    MemoryLog &log = world->log(0);
    const std::size_t linesBefore = log.lines.size();
    const std::size_t startsBefore = log.count("run_start");
    const Duration usedBefore = processorTime();
    keepBusy(std::chrono::seconds(6));
    const Duration used = processorTime() - usedBefore;
    StartCost cost;
    cost.starts = static_cast<double>(log.count("run_start") - startsBefore);
    cost.considered = static_cast<double>(log.sum("coordinator_load", "considered", linesBefore)) / cost.starts;
    cost.microseconds = std::chrono::duration<double, std::micro>(used).count() / cost.starts;
    cost.reservations = log.count("worker_held");
    return cost;
}

} // namespace

// Guards against look-ahead that costs the coordinator more than it may: at most 3% more for a start. The looks at
// workers are checked; the processor time, which other load on the machine changes, is printed.
TEST_CASE("a start costs no more looks at workers with look-ahead")
{
    const int workers = GENERATE(350, 1100);
    const StartCost off = costBesideWideTasks(workers, false);
    const StartCost on = costBesideWideTasks(workers, true);
    WARN(workers << " workers, look-ahead off and on: starts " << off.starts << " and " << on.starts
                 << ", looks at workers for each " << off.considered << " and " << on.considered
                 << ", processor time of the simulation for each " << off.microseconds << " us and " << on.microseconds
                 << " us, reservations " << off.reservations << " and " << on.reservations);
    REQUIRE(on.starts >= 1000);
    CHECK(on.reservations > 0);
    CHECK(on.considered <= 1.03 * off.considered);
}
