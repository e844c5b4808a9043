// Load pattern: serving tasks on all workers, and fillers that take more headroom at full pace than the serving tasks
// ever have.
#include "sharedfleet_pvt.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

/// By the users' definition, a job is lost if nothing of it runs for this long while there is room for it.
constexpr Milliseconds maxJobIdleTime{3000};
/// By the users' definition, a serving task is harmed if fillers beside it keep it over its target for this long
/// without a break.
constexpr Milliseconds maxOverTargetTime{4000};
/// A job with nothing running waits about this long for a worker with enough headroom before it gets another one.
constexpr Milliseconds minFillerWait{1400};
/// Delay between the answer to a pace order and its effect.
constexpr Milliseconds paceDelay{300};
/// Fillers take five times their share of a worker from the serving tasks there.
constexpr double heavyInterference = 5;

} // namespace

// Guards against accepted jobs that are never started because no worker has enough headroom for them, however long they
// wait.
TEST_CASE("fillers that disturb serving tasks everywhere are started within three seconds, and end")
{
    SharedFleet fleet(1, 6, heavyInterference);
    std::vector<JobId> jobs;
    for (int i = 0; i < 8; ++i) {
        jobs.push_back(fleet.submitFillers(2, Milliseconds(1700)));
        fleet.run(Milliseconds(500));
    }
    fleet.run(std::chrono::seconds(56));
    for (const JobId &job : jobs) {
        CHECK(fleet.longestIdle(job).count() < maxJobIdleTime.count());
        CHECK(fleet.world->state(0, job) == "complete");
    }
    CHECK(fleet.longestOverTarget().count() < maxOverTargetTime.count());
}

// Guards against a wait that is counted from before the job last ran: its next step got a worker without enough
// headroom at once.
TEST_CASE("the next step of a job of fillers waits for a worker with enough headroom as long as the first")
{
    SharedFleet fleet(1, 6, heavyInterference);
    fleet.trainModelAndRaiseLoad();
    StepSpec second = SharedFleet::fillerStep(1);
    second.dependsOn = {0};
    const TimePoint submitted = fleet.world->world.now();
    const JobId job = fleet.submit({SharedFleet::fillerStep(1), second}, Milliseconds(500));
    fleet.run(std::chrono::seconds(20));
    const std::vector<SimWorkers::RunRecord> runs = fleet.world->workers.runsOf(job);
    const auto next = std::find_if(runs.begin(), runs.end(), [](const SimWorkers::RunRecord &run) {
        return run.task.step == 1;
    });
    REQUIRE(next != runs.end());
    CHECK((runs.front().began - submitted >= minFillerWait));
    CHECK((next->began - runs.front().ended >= minFillerWait));
}

// Guards against many overdue jobs that get a place on the same worker one after the other and together harm its
// serving task.
TEST_CASE("a stream of fillers that disturb everywhere does not keep serving tasks over their target")
{
    for (const Milliseconds gap : {Milliseconds(100), Milliseconds(200), Milliseconds(300)}) {
        SharedFleet fleet(1, 6, heavyInterference);
        fleet.world->workers.paceDelay = paceDelay;
        fleet.trainModelAndRaiseLoad();
        for (Milliseconds sent{0}; sent < std::chrono::seconds(12); sent += gap) {
            fleet.submitFillers(1, Milliseconds(1700));
            fleet.run(gap);
        }
        fleet.run(std::chrono::seconds(15));
        CHECK(fleet.longestOverTarget().count() < maxOverTargetTime.count());
    }
}

// Guards against gangs of fillers that never start because only their first task counted as overdue.
TEST_CASE("a gang of fillers that disturbs serving tasks everywhere is started within three seconds")
{
    SharedFleet fleet(1, 6, heavyInterference);
    fleet.trainModelAndRaiseLoad();
    StepSpec gang = SharedFleet::fillerStep(2);
    gang.gang = true;
    const JobId job = fleet.submit({gang}, Milliseconds(1700));
    fleet.run(maxJobIdleTime);
    CHECK(fleet.runsOf(job) == 2);
}

// Guards against fillers that start one after the other beside a serving task that is over its target, because it was
// assumed to be like the other tasks of its step, on other workers.
TEST_CASE(
    "a serving task that is slower than the others of its step is protected from harm, and gets no further fillers")
{
    SharedFleet fleet(1, 8, 2.5);
    fleet.slowdown["w3"] = 2.0;
    for (int i = 0; i < 80; ++i) {
        fleet.submitFillers(6, Milliseconds(1200));
        fleet.run(Milliseconds(500));
    }
    CHECK(fleet.longestOverTarget().count() < maxOverTargetTime.count());
    CHECK(fleet.startsBesideOverTarget() == 0);
}

// Guards against fillers that stay paused forever beside serving tasks that have headroom for their minimum pace.
TEST_CASE("a filler beside a steady serving load that leaves little headroom completes eventually")
{
    for (const double load : {0.70, 0.72, 0.735, 0.75}) {
        SharedFleet fleet(1, 2, 1);
        fleet.swing = 0;
        fleet.servingLoad = load;
        fleet.run(std::chrono::seconds(5));
        const JobId job = fleet.submitFillers(1, Milliseconds(1700));
        fleet.run(std::chrono::seconds(60));
        CHECK(fleet.world->state(0, job) == "complete");
        CHECK(fleet.longestOverTarget().count() < maxOverTargetTime.count());
    }
}
