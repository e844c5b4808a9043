// A caller gives up on a submission that is still on its way, cancels the job and is told that there is none.
#include "fescueledge/random.h"
#include "readyworld_pvt.h"
#include "rows_pvt.h"
#include "workflowworld_pvt.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

constexpr int nodeCount = 3;
constexpr Milliseconds callerPatience{3000};
/// By the users' definition, a task may start for this long after the answer to a cancellation.
constexpr Milliseconds cancelTime{3000};
/// By the users' definition, a task runs on for at most this long after that.
constexpr Milliseconds stopTime{900};

WorkflowSpec lastingWorkflow()
{
    StepSpec step = simpleStep(2);
    step.longRunning = true;
    return workflowOf({step});
}

std::unique_ptr<WorkflowWorld> lastingWorld(int nodes = nodeCount)
{
    std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 2);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(3'600'000), false);
    };
    return world;
}

std::size_t activeRuns(const WorkflowWorld &world, const JobId &job)
{
    const std::vector<SimWorkers::RunRecord> runs = world.workers.runsOf(job);
    return static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(), [](const SimWorkers::RunRecord &run) {
        return run.ended == TimePoint{};
    }));
}

/// Number of rows of jobs and cancellations.
std::size_t jobRows(const WorkflowWorld &world)
{
    const ReadResult all = world.rows.scan("job/");
    return static_cast<std::size_t>(std::count_if(all.rows.begin(), all.rows.end(), [](const Row &row) {
        return row.key != rows::termMarker();
    }));
}

JobId numberedJob(int number)
{
    const std::string digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}

} // namespace

// Guards against a job that runs after its cancellation was answered with NoJob, because a frozen node stores its
// submission when it wakes.
TEST_CASE("a submission in a frozen node is not stored after its cancellation was answered with NoJob")
{
    for (const bool freezesCoordinator : {false, true}) {
        for (const bool killsCoordinator : {false, true}) {
            const std::unique_ptr<WorkflowWorld> world = lastingWorld();
            const int first = world->coordinator();
            const int frozen = freezesCoordinator ? first : otherThan(first, nodeCount);
            CallerOutcome outcome = CallerOutcome::Ok;
            world->pause(frozen);
            world->submitLater(frozen, jobA, lastingWorkflow(), [&outcome](const CallerAnswer &answer) {
                outcome = answer.outcome;
            });
            world->run(callerPatience);
            for (int node = 0; node < nodeCount; ++node) {
                if (node != frozen) {
                    CHECK(world->cancel(node, jobA) == CallerOutcome::NoJob);
                }
            }
            const int coordinator = world->coordinator();
            if (killsCoordinator && coordinator != frozen) {
                world->kill(coordinator);
            }
            world->run(Milliseconds(1000));
            world->resume(frozen);
            world->run(std::chrono::seconds(12));
            CHECK(world->workers.runsOf(jobA).empty());
            CHECK(outcome == CallerOutcome::Cancelled);
            CHECK(world->state(frozen, jobA).empty());
        }
    }
}

// Guards against a job that runs after its cancellation was answered with NoJob, because the store carries out the
// write of its submission late.
TEST_CASE("a submission that the store carries out late is not stored after its cancellation was answered with NoJob")
{
    const std::unique_ptr<WorkflowWorld> world = lastingWorld();
    const int node = otherThan(world->coordinator(), nodeCount);
    world->storeFaults(node).requestDelay = Milliseconds(3500);
    CallerOutcome outcome = CallerOutcome::Ok;
    world->submitLater(node, jobA, lastingWorkflow(), [&outcome](const CallerAnswer &answer) {
        outcome = answer.outcome;
    });
    world->run(callerPatience);
    CHECK(outcome == CallerOutcome::Unknown);
    world->storeFaults(node).requestDelay = Milliseconds(0);
    CHECK(world->cancel(otherThan(node, nodeCount), jobA) == CallerOutcome::NoJob);
    world->run(std::chrono::seconds(12));
    CHECK(world->workers.runsOf(jobA).empty());
}

// Guards against the same in other orders of events: frozen nodes, late or lost writes, takeovers, and callers that
// submit and cancel again elsewhere.
TEST_CASE("random orders of a submission, its cancellation and faults: nothing runs on after the cancellation")
{
    int unanswered = 0;
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        INFO("seed " << seed);
        Random random(seed);
        const std::unique_ptr<WorkflowWorld> world = lastingWorld();
        const int node = static_cast<int>(random.below(nodeCount));
        const bool freezes = random.chance(0.5);
        const bool killsCoordinator = random.chance(0.3);
        FakeTableService::Faults &faults = world->storeFaults(node);
        faults.requestDelay = Milliseconds(random.chance(0.4) ? random.below(6000) : 0);
        faults.loseRequest = random.chance(0.3) ? 0.5 : 0;
        faults.loseAnswer = random.chance(0.3) ? 0.5 : 0;
        if (freezes) {
            world->pause(node);
        }
        const WorkflowNode::AnswerHandler ignore = [](const CallerAnswer &) {};
        world->submitLater(node, jobA, lastingWorkflow(), ignore);
        world->run(Milliseconds(random.below(4000)));
        const int other = otherThan(node, nodeCount);
        if (random.chance(0.3)) {
            world->submitLater(other, jobA, lastingWorkflow(), ignore);
            world->run(Milliseconds(random.below(20)));
        }
        const CallerOutcome cancelled = world->cancel(other, jobA);
        const TimePoint answered = world->world.now();
        const bool isAcknowledged = cancelled == CallerOutcome::Ok || cancelled == CallerOutcome::NoJob;
        unanswered += isAcknowledged ? 0 : 1;
        if (killsCoordinator && world->coordinator() >= 0 && world->coordinator() != node) {
            world->kill(world->coordinator());
        }
        world->run(Milliseconds(random.below(2000)));
        if (freezes) {
            world->resume(node);
        }
        world->run(Milliseconds(random.below(1000)));
        world->storeFaults(node) = FakeTableService::Faults{};
        world->run(std::chrono::seconds(12));
        if (!isAcknowledged) {
            continue;
        }
        CHECK(activeRuns(*world, jobA) == 0);
        for (const SimWorkers::RunRecord &run : world->workers.runsOf(jobA)) {
            CHECK((run.began <= answered + cancelTime));
            CHECK((run.ended <= answered + cancelTime + stopTime));
        }
    }
    CHECK(unanswered <= 15);
}

// Guards against a notice of cancellation that is forgotten because it comes before the notice of its job, while the
// coordinator's watch of the jobs is silent.
TEST_CASE("a notice of cancellation that overtakes the notice of its job cancels it")
{
    const std::unique_ptr<WorkflowWorld> world = lastingWorld();
    const int coordinator = world->coordinator();
    const int front = otherThan(coordinator, nodeCount);
    const int other = otherThan(front, nodeCount);
    world->storeFaults(coordinator).watchesSilent = true;
    world->run(std::chrono::seconds(2)); // The watch that is under way ends.
    world->network.setHeld("node-" + std::to_string(front), true);
    CHECK(world->submit(front, jobA, lastingWorkflow()) == CallerOutcome::Ok);
    CHECK(world->cancel(other, jobA) == CallerOutcome::Ok);
    world->run(Milliseconds(100));
    world->network.setHeld("node-" + std::to_string(front), false);
    REQUIRE(world->coordinator() == coordinator);
    world->run(cancelTime);
    CHECK(activeRuns(*world, jobA) == 0);
}

// Guards against rows of cancellations that are kept for good, and of which a later term knows nothing.
TEST_CASE("the cancellation of an unknown job is removed after the retention time, also by a later term")
{
    for (const bool takesOver : {false, true}) {
        WorkflowWorld world(nodeCount);
        world.settings.statusRetention = Milliseconds(5000);
        for (int node = 0; node < nodeCount; ++node) {
            world.kill(node);
            world.startNode(node);
        }
        world.run(Milliseconds(1500));
        const std::size_t before = jobRows(world);
        for (int i = 0; i < 120; ++i) {
            CHECK(world.cancel(i % nodeCount, numberedJob(i)) == CallerOutcome::NoJob);
        }
        CHECK(jobRows(world) == before + 120);
        if (takesOver) {
            world.kill(world.coordinator());
        }
        world.run(std::chrono::seconds(3));
        CHECK(jobRows(world) == before + 120);
        world.run(std::chrono::seconds(20));
        CHECK(jobRows(world) == before);
    }
}

// Guards against a row that is removed by a call of unknown outcome, which then blocks the removal of others.
TEST_CASE("cancellations of unknown jobs are removed although answers of the store are lost")
{
    WorkflowWorld world(1);
    world.settings.statusRetention = Milliseconds(5000);
    world.kill(0);
    world.startNode(0);
    world.run(Milliseconds(1500));
    for (int i = 0; i < 60; ++i) {
        CHECK(world.cancel(0, numberedJob(i)) == CallerOutcome::NoJob);
    }
    world.run(Milliseconds(4000));
    world.storeFaults(0).loseAnswer = 1;
    world.run(std::chrono::seconds(5));
    world.storeFaults(0).loseAnswer = 0;
    world.run(std::chrono::seconds(150));
    CHECK(jobRows(world) == 0);
}

// Guards against a flood of cancellations of jobs that never existed: it must fill neither the store nor keep jobs out.
TEST_CASE("cancellations of unknown jobs are limited, and jobs are accepted and cancelled beside a flood of them")
{
    const std::unique_ptr<WorkflowWorld> world = lastingWorld(1);
    int refused = 0;
    for (int i = 0; i < 600; ++i) {
        const CallerOutcome outcome = world->cancel(0, numberedJob(i));
        refused += outcome == CallerOutcome::Unavailable ? 1 : 0;
        CHECK((outcome == CallerOutcome::NoJob || outcome == CallerOutcome::Unavailable));
    }
    CHECK(refused == 100);
    CHECK(jobRows(*world) == 500);
    CHECK(world->cancel(0, numberedJob(0)) == CallerOutcome::NoJob);
    CHECK(world->submit(0, jobA, lastingWorkflow()) == CallerOutcome::Ok);
    world->run(Milliseconds(500));
    CHECK(activeRuns(*world, jobA) == 2);
    CHECK(world->cancel(0, jobA) == CallerOutcome::Ok);
    world->run(Milliseconds(1000));
    CHECK(activeRuns(*world, jobA) == 0);
}
