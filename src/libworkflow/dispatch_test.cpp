// Load patterns in virtual time: which tasks start first, on which workers, and how many at once.
#include "dispatchbudget_pvt.h"
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

TEST_CASE("a draining worker and an evacuated data centre get nothing new")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, 4);
    world->workers.setDraining("w0");
    Catalog catalog = world->catalog;
    catalog.version = 2;
    catalog.evacuated = {"dc-b"};
    world->setCatalog(catalog);
    world->run(Milliseconds(100));
    world->submit(0, jobA, workflowOf({simpleStep(8)}));
    CHECK(reachesState(*world, 0, jobA, "complete", std::chrono::seconds(10)));
    for (const SimWorkers::RunRecord &run : world->workers.runs()) {
        CHECK(run.worker == "w2");
    }
}

TEST_CASE("labels, limits for each worker and capacity hold for every start")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, 4, 3);
    StepSpec labelled = simpleStep(3);
    labelled.requiredLabel = "r1";
    StepSpec apart = simpleStep(4);
    apart.maxPerWorker = 1;
    world->submit(0, jobA, workflowOf({labelled, apart}));
    CHECK(reachesState(*world, 0, jobA, "complete", std::chrono::seconds(10)));
    for (const SimWorkers::RunRecord &run : world->workers.runs()) {
        if (run.task.step == 0) {
            CHECK((run.worker == "w2" || run.worker == "w3"));
        }
        int beside = 0;
        int ofStep = 0;
        for (const SimWorkers::RunRecord &other : world->workers.runs()) {
            const bool together = other.worker == run.worker && other.began <= run.began && other.ended > run.began;
            beside += together ? 1 : 0;
            ofStep += together && other.task.step == 1 ? 1 : 0;
        }
        CHECK(beside <= 3);
        CHECK(ofStep <= 1);
    }
}

TEST_CASE("a worker that fails all runs is quarantined, and a job that always fails quarantines no worker")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, 3, 1);
    world->workers.find("w1")->failsAllRuns = true;
    Catalog catalog = world->catalog;
    catalog.version = 2;
    for (QueuePolicy &queue : catalog.queues) {
        queue.maxAttempts = 10;
    }
    world->setCatalog(catalog);
    world->run(Milliseconds(100));
    for (int i = 0; i < 10; ++i) {
        world->submit(0, "00000000000000c" + std::to_string(i), workflowOf({simpleStep(4)}));
    }
    world->run(std::chrono::seconds(8));
    const std::vector<SimWorkers::RunRecord> &runs = world->workers.runs();
    const auto onFaulty = std::count_if(runs.begin(), runs.end(), [](const SimWorkers::RunRecord &run) {
        return run.worker == "w1";
    });
    CHECK(onFaulty <= 10);
    CHECK(world->log(0).count("worker_quarantined") >= 1);
}

TEST_CASE("burst of jobs of all sizes: small jobs pass large ones, and large ones are not starved")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, 2, 8);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(400), false);
    };
    const JobId large = "00000000000000f0";
    StepSpec many = simpleStep(64);
    many.estimate = Milliseconds(400);
    world->submit(0, large, workflowOf({many}));
    std::vector<JobId> small;
    for (int i = 0; i < 40; ++i) {
        small.push_back("00000000000001" + std::to_string(10 + i));
        StepSpec few = simpleStep(4);
        few.estimate = Milliseconds(400);
        world->submit(0, small.back(), workflowOf({few}));
        world->run(Milliseconds(60));
    }
    // At this load the fleet is full: the large job alone would delay the small ones by 1.6 s each time.
    int smallJobsInTime = 0;
    CHECK(reachesState(*world, 0, large, "complete", std::chrono::seconds(15)));
    for (const JobId &id : small) {
        const std::vector<SimWorkers::RunRecord> runs = world->workers.runsOf(id);
        TimePoint first = TimePoint::max();
        TimePoint last{};
        for (const SimWorkers::RunRecord &run : runs) {
            first = std::min(first, run.began);
            last = std::max(last, run.ended);
        }
        smallJobsInTime += runs.size() == 4 && last - first < Milliseconds(1800) ? 1 : 0;
    }
    CHECK(smallJobsInTime >= 36);
}

TEST_CASE("long-running tasks wait for room: short urgent jobs pass them, and they get the room that is left")
{
    // Four tasks of a second fill the fleet. Then long-running tasks and short urgent jobs arrive, in this order.
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, 2, 2);
    world->workers.workOf = [](const TaskKey &key) {
        return std::make_pair(Milliseconds(key.job == jobA ? 600000 : key.job == jobB ? 1000 : 200), false);
    };
    world->submit(0, jobB, workflowOf({simpleStep(4)}));
    world->run(Milliseconds(50));
    StepSpec longRunning = simpleStep(4);
    longRunning.longRunning = true;
    world->submit(0, jobA, workflowOf({longRunning}), "urgent");
    StepSpec shortStep = simpleStep(4);
    shortStep.estimate = Milliseconds(3000); // The jobs stay within their objective throughout the test.
    for (int i = 0; i < 2; ++i) {
        world->submit(0, "000000000000000" + std::to_string(i), workflowOf({shortStep}), "urgent");
    }
    world->run(Milliseconds(1600));
    for (int i = 0; i < 2; ++i) {
        CHECK(world->state(0, "000000000000000" + std::to_string(i)) == "complete");
    }
    CHECK(world->workers.runsOf(jobA).size() == 4);
}

TEST_CASE("the number of starts in a run follows the speed of the processor")
{
    DispatchBudget budget;
    const std::uint64_t first = budget.startsPerRun();
    budget.adjust(Milliseconds(3), false);
    CHECK(budget.startsPerRun() == first); // The run did not use up the budget.
    for (int i = 0; i < 10; ++i) {
        budget.adjust(Milliseconds(5), true);
    }
    CHECK(budget.startsPerRun() == 512);
    budget.adjust(Milliseconds(15), true);
    CHECK(budget.startsPerRun() == 512);
    for (int i = 0; i < 10; ++i) {
        budget.adjust(Milliseconds(50), i % 2 == 0);
    }
    CHECK(budget.startsPerRun() == 16); // Runs of 50 ms block the loop for too long, however few starts they send.
}

TEST_CASE(
    "a burst of wide jobs: starts are sent in several runs, and an urgent job that arrives in between passes the rest")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, 200, 16);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(30000), false);
    };
    for (int i = 0; i < 12; ++i) {
        world->submitLater(0, "00000000000000" + std::to_string(10 + i), workflowOf({simpleStep(300)}),
                           [](const CallerAnswer &) {});
    }
    world->run(Milliseconds(20)); // The jobs are accepted, and their first starts are being sent.
    CHECK(world->submit(0, jobA, workflowOf({simpleStep(20)}), "urgent") == CallerOutcome::Ok);
    world->run(Milliseconds(500));
    CHECK(world->workers.runsOf(jobA).size() == 20);
    std::map<std::int64_t, int> startsAt;
    for (const SimWorkers::RunRecord &run : world->workers.runs()) {
        ++startsAt[std::chrono::duration_cast<Milliseconds>(run.began.time_since_epoch()).count()];
    }
    CHECK(startsAt.begin()->second <= 48);
    for (const auto &[at, starts] : startsAt) {
        CHECK(starts <= 512);
    }
    CHECK(world->workers.runs().size() == 3200); // The capacity of the fleet.
}

// Guards against waits that the logs do not explain.
TEST_CASE("a step that finds no worker is logged with the reasons that rule workers out, at growing intervals")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, 4);
    StepSpec labelled = simpleStep(3);
    labelled.requiredLabel = "elsewhere";
    world->submit(0, jobA, workflowOf({labelled}));
    world->run(std::chrono::seconds(20));
    const std::vector<std::string> &lines = world->log(0).lines;
    const auto first = std::find_if(lines.begin(), lines.end(), [](const std::string &line) {
        return line.find("event=step_waits") == 0;
    });
    REQUIRE(first != lines.end());
    CHECK(first->find("idle=3 of=3") != std::string::npos);
    CHECK(first->find("outcome=label label=4") != std::string::npos);
    CHECK(world->log(0).count("step_waits") >= 4);
    CHECK(world->log(0).count("step_waits") <= 6);
}

// Guards against quarantines that each failed run restarts: on a small fleet healthy jobs waited for five seconds.
TEST_CASE("jobs that fail by their own fault do not delay healthy ones by three seconds")
{
    for (Milliseconds at{100}; at < Milliseconds(2600); at += Milliseconds(100)) {
        const std::unique_ptr<WorkflowWorld> world = readyWorld(1, 2, 8);
        const JobId slow = "00000000000000c2";
        world->workers.workOf = [&slow](const TaskKey &key) {
            return std::make_pair(Milliseconds(key.job == slow ? 2000 : 100), key.job != jobA);
        };
        world->submit(0, slow, workflowOf({simpleStep(2)}));
        world->submit(0, "00000000000000c0", workflowOf({simpleStep(4)}));
        world->submit(0, "00000000000000c1", workflowOf({simpleStep(4)}));
        world->run(at);
        world->submit(0, jobA, workflowOf({simpleStep(1)}));
        const TimePoint submitted = world->world.now();
        world->run(std::chrono::seconds(8));
        REQUIRE_FALSE(world->workers.runsOf(jobA).empty());
        CHECK((world->workers.runsOf(jobA).front().began - submitted < Milliseconds(3000)));
    }
}

TEST_CASE("the load report tells how old the list of workers is")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, 2);
    world->withholdFleetUpdates(0, true);
    world->run(Milliseconds(3500));
    const std::vector<std::string> &lines = world->log(0).lines;
    CHECK(std::any_of(lines.begin(), lines.end(), [](const std::string &line) {
        const std::size_t at = line.find("list_age_ms=");
        return line.find("event=coordinator_load") != std::string::npos && at != std::string::npos
            && std::stoi(line.substr(at + std::string("list_age_ms=").size())) >= 2000;
    }));
}
