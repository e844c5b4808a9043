// Whole nodes against a simulated store and fleet, in virtual time.
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

TEST_CASE("a workflow of dependent steps runs each task once, in order, and is shown as complete")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(3, 2);
    StepSpec second = simpleStep(3);
    second.dependsOn = {0};
    const int node = otherThan(world->coordinator(), 3);
    CHECK(world->submit(node, jobA, workflowOf({simpleStep(5), second})) == CallerOutcome::Ok);
    CHECK(reachesState(*world, node, jobA, "complete", std::chrono::seconds(5)));
    const std::vector<SimWorkers::RunRecord> runs = world->workers.runsOf(jobA);
    CHECK(runs.size() == 8);
    CHECK(world->workers.tasksRunTwice().empty());
    TimePoint firstStepEnd{};
    for (const SimWorkers::RunRecord &run : runs) {
        CHECK(run.payload == "work");
        if (run.task.step == 0) {
            firstStepEnd = std::max(firstStepEnd, run.ended);
        } else {
            CHECK(run.began >= firstStepEnd);
        }
    }
}

TEST_CASE("the same id submitted again, at another node, stays one job")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(2, 1);
    CHECK(world->submit(0, jobA, workflowOf({simpleStep(2)})) == CallerOutcome::Ok);
    CHECK(world->submit(1, jobA, workflowOf({simpleStep(2)})) == CallerOutcome::Ok);
    CHECK(reachesState(*world, 1, jobA, "complete", std::chrono::seconds(5)));
    CHECK(world->submit(1, jobA, workflowOf({simpleStep(2)})) == CallerOutcome::Ok);
    world->run(std::chrono::seconds(2));
    CHECK(world->workers.runsOf(jobA).size() == 2);
    CHECK(world->state(0, jobB).empty());
}

TEST_CASE("a task that fails as often as its queue allows fails the job, and is not started again")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, 2);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(20), true);
    };
    world->submit(0, jobA, workflowOf({simpleStep(1)}));
    CHECK(reachesState(*world, 0, jobA, "failed", std::chrono::seconds(20)));
    world->run(std::chrono::seconds(2));
    CHECK(world->workers.runsOf(jobA).size() == 3);
}

TEST_CASE("a failed run that is reported again to a new coordinator counts once")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(2, 1);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(200), true);
    };
    world->submit(0, jobA, workflowOf({simpleStep(1)}));
    while (world->workers.runs().empty()) {
        world->run(Milliseconds(1));
    }
    // The coordinator is killed when the failure is durable, but not yet acknowledged to the worker.
    const int first = world->coordinator();
    const std::uint64_t commits = world->rows.commits();
    world->run(Milliseconds(180));
    while (world->rows.commits() <= commits) {
        world->run(Milliseconds(1));
    }
    world->kill(first);
    world->run(std::chrono::seconds(20));
    CHECK(world->workers.runsOf(jobA).size() == 3);
}

TEST_CASE("a cancelled job is stopped and starts nothing more")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(2, 1, 2);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(60000), false);
    };
    world->submit(0, jobA, workflowOf({simpleStep(5)}));
    world->run(Milliseconds(300));
    CHECK(world->workers.runsOf(jobA).size() == 2);
    CHECK(world->cancel(1, jobA) == CallerOutcome::Ok);
    CHECK(reachesState(*world, 1, jobA, "cancelled", Milliseconds(500)));
    world->run(std::chrono::seconds(3));
    const std::vector<SimWorkers::RunRecord> runs = world->workers.runsOf(jobA);
    CHECK(runs.size() == 2);
    CHECK(std::all_of(runs.begin(), runs.end(), [](const SimWorkers::RunRecord &run) {
        return run.how == RunEnd::Stopped && run.ended != TimePoint{};
    }));
}

TEST_CASE("occurrences start when they are due, and not before")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, 1);
    WorkflowSpec spec = workflowOf({simpleStep(1)});
    spec.occurrences = 3;
    spec.interval = Milliseconds(1000);
    spec.firstDue =
        WallTime(std::chrono::duration_cast<Milliseconds>(world->world.now().time_since_epoch()) + Milliseconds(500));
    const TimePoint due = world->world.now() + Milliseconds(500);
    world->submit(0, jobA, spec);
    CHECK(reachesState(*world, 0, jobA, "complete", std::chrono::seconds(10)));
    const std::vector<SimWorkers::RunRecord> runs = world->workers.runsOf(jobA);
    REQUIRE(runs.size() == 3);
    for (std::size_t i = 0; i < runs.size(); ++i) {
        const TimePoint expected = due + i * Milliseconds(1000);
        CHECK(runs[i].task.occurrence == i);
        CHECK(runs[i].began >= expected);
        CHECK(runs[i].began < expected + Milliseconds(200));
    }
}

TEST_CASE("unreachable worker that keeps running: its tasks start elsewhere, but only after its lease has expired")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, 2);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(20000), false);
    };
    StepSpec step = simpleStep(4);
    world->submit(0, jobA, workflowOf({step}));
    world->run(Milliseconds(500));
    const WorkerId cut = world->workers.runs().front().worker;
    const std::size_t there = static_cast<std::size_t>(
        std::count_if(world->workers.runs().begin(), world->workers.runs().end(), [&cut](const auto &run) {
            return run.worker == cut;
        }));
    world->workers.find(cut)->cutFrom.insert("node-0");
    world->run(std::chrono::seconds(7));
    CHECK(world->workers.runsOf(jobA).size() == 4 + there);
    CHECK(world->workers.tasksRunTwice().empty());
}

TEST_CASE("crashed and unlisted worker: its tasks start elsewhere although it is observed again and again")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(2, 2);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(60000), false);
    };
    StepSpec step = simpleStep(2);
    step.longRunning = true;
    world->submit(0, jobA, workflowOf({step}));
    world->run(Milliseconds(500));
    const WorkerId crashed = world->workers.runs().front().worker;
    world->workers.crash(crashed);
    world->workers.unlist(crashed);
    world->run(std::chrono::seconds(6));
    const std::vector<SimWorkers::RunRecord> runs = world->workers.runsOf(jobA);
    CHECK(std::count_if(runs.begin(), runs.end(),
                        [](const auto &run) {
                            return run.ended == TimePoint{};
                        })
          == 2);
}

TEST_CASE("new incarnation of a worker at the same address: its tasks start again at once")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, 1);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(3000), false);
    };
    world->submit(0, jobA, workflowOf({simpleStep(2)}));
    world->run(Milliseconds(500));
    world->workers.crash("w0");
    world->workers.restart("w0");
    world->run(Milliseconds(1500));
    CHECK(world->workers.runsOf(jobA).size() == 4);
    CHECK(reachesState(*world, 0, jobA, "complete", std::chrono::seconds(10)));
}

TEST_CASE("start orders that take effect late, without an answer, do not run a task twice")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, 3);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(2500), false);
    };
    world->delayStarts(0, Milliseconds(2300));
    world->submit(0, jobA, workflowOf({simpleStep(6)}));
    world->run(Milliseconds(1200));
    world->delayStarts(0, Milliseconds(0));
    CHECK(reachesState(*world, 0, jobA, "complete", std::chrono::seconds(30)));
    CHECK(world->workers.tasksRunTwice().empty());
}

TEST_CASE("pending counts accepted jobs without a started task")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(2, 1, 1);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(60000), false);
    };
    world->submit(0, jobA, workflowOf({simpleStep(1)}));
    world->submit(0, jobB, workflowOf({simpleStep(1)}));
    world->run(Milliseconds(500));
    CHECK(world->pending(0, "batch") == 1U);
    CHECK(world->pending(1, "batch") == 1U);
    CHECK(world->state(1, jobB) == "queued");
    CHECK(world->state(1, jobA) == "in_progress");
}
