// Tasks that crash each worker that starts them, and jobs that merely ran on workers that crashed.
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

constexpr int nodes = 3;
/// By the users' contract a task may be started twice more after three workers have crashed under it.
constexpr std::ptrdiff_t maxStartsOfCrashing = 5;
constexpr std::chrono::seconds dayLength{45};

/// The first task of jobA crashes its workers.
bool isCrashing(const TaskKey &key)
{
    return key.job == jobA && key.step == 0 && key.index == 0;
}

std::unique_ptr<WorkflowWorld> crashWorld(int workers)
{
    std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, workers);
    world->workers.crashesWorker = isCrashing;
    return world;
}

std::ptrdiff_t startsOfCrashing(const WorkflowWorld &world)
{
    const std::vector<SimWorkers::RunRecord> &runs = world.workers.runs();
    return std::count_if(runs.begin(), runs.end(), [](const SimWorkers::RunRecord &run) {
        return isCrashing(run.task);
    });
}

int answeringNode(const WorkflowWorld &world)
{
    const int coordinator = world.coordinator();
    return coordinator < 0 ? 0 : coordinator;
}

JobId otherJob(int number)
{
    const std::string digits = std::to_string(1000 + number);
    return "000000000000" + digits;
}

/// Submits @p count healthy jobs of three tasks each.
void submitOthers(WorkflowWorld *world, int count)
{
    for (int i = 0; i < count; ++i) {
        world->submit(answeringNode(*world), otherJob(i), workflowOf({simpleStep(3)}));
    }
}

int countComplete(WorkflowWorld *world, int count)
{
    int complete = 0;
    for (int i = 0; i < count; ++i) {
        complete += world->state(answeringNode(*world), otherJob(i)) == "complete" ? 1 : 0;
    }
    return complete;
}

void crashRack(WorkflowWorld *world, const std::vector<WorkerId> &rack)
{
    for (const WorkerId &id : rack) {
        world->workers.crash(id);
        world->world.after(std::chrono::seconds(3), [world, id] {
            world->workers.restart(id);
        });
    }
}

} // namespace

// Guards against a task that takes down one worker after the other, every four seconds until the day ends.
TEST_CASE("a task that crashes its workers is started twice, and its job fails with a reason")
{
    const std::unique_ptr<WorkflowWorld> world = crashWorld(8);
    submitOthers(world.get(), 6);
    world->submit(0, jobA, workflowOf({simpleStep(6)}));
    submitOthers(world.get(), 10);
    CHECK(reachesState(*world, answeringNode(*world), jobA, "failed", std::chrono::seconds(12)));
    world->run(dayLength);
    CHECK(startsOfCrashing(*world) == 2);
    CHECK(world->state(answeringNode(*world), jobA) == "failed");
    CHECK(countComplete(world.get(), 10) == 10);
    CHECK(world->countInLogs("job_given_up") == 1);
    CHECK(world->countInLogs("run_crashed") >= 2);
    CHECK(world->workers.tasksRunTwice().empty());
}

// Guards against a suspect that never starts in a busy fleet: each worker is being observed with a long wait, so none
// could show at once that it is up.
TEST_CASE("a task that crashes its workers is given up as soon where all workers are busy")
{
    const std::unique_ptr<WorkflowWorld> world = crashWorld(8);
    world->workers.workOf = [](const TaskKey &key) {
        return std::make_pair(key.job == jobB ? Milliseconds(600000) : Milliseconds(100), false);
    };
    StepSpec lasting = simpleStep(8);
    lasting.longRunning = true;
    lasting.maxPerWorker = 1;
    world->submit(0, jobB, workflowOf({lasting}));
    world->run(std::chrono::seconds(3));
    world->submit(0, jobA, workflowOf({simpleStep(6)}));
    CHECK(reachesState(*world, answeringNode(*world), jobA, "failed", std::chrono::seconds(12)));
    CHECK(startsOfCrashing(*world) == 2);
}

// Guards against crashes that are forgotten with the coordinator that counted them.
TEST_CASE("a task that crashes its workers is given up although the coordinator is lost at any moment")
{
    for (Milliseconds at{0}; at < Milliseconds(10000); at += Milliseconds(500)) {
        const std::unique_ptr<WorkflowWorld> world = crashWorld(8);
        world->submit(0, jobA, workflowOf({simpleStep(4)}));
        submitOthers(world.get(), 4);
        world->run(at);
        const int lost = world->coordinator();
        if (lost >= 0) {
            world->kill(lost);
        }
        world->run(std::chrono::seconds(4));
        if (lost >= 0) {
            world->startNode(lost);
        }
        world->run(dayLength);
        INFO("killed at " << at.count() << " ms");
        CHECK(startsOfCrashing(*world) <= maxStartsOfCrashing);
        CHECK(world->state(answeringNode(*world), jobA) == "failed");
        CHECK(countComplete(world.get(), 4) == 4);
    }
}

// Guards against a suspect that starts before its crash is durable, and against a count that a silent store drops.
TEST_CASE("a crash that is noticed while the store is silent counts, with and without a loss of the coordinator")
{
    for (const bool loseCoordinator : {false, true}) {
        for (Milliseconds at{2000}; at < Milliseconds(7000); at += Milliseconds(500)) {
            const std::unique_ptr<WorkflowWorld> world = crashWorld(8);
            world->submit(0, jobA, workflowOf({simpleStep(4)}));
            submitOthers(world.get(), 4);
            world->run(at);
            for (int i = 0; i < nodes; ++i) {
                world->storeFaults(i).down = true;
            }
            world->run(std::chrono::seconds(2));
            const int lost = loseCoordinator ? world->coordinator() : -1;
            if (lost >= 0) {
                world->kill(lost);
            }
            world->run(std::chrono::seconds(2));
            if (lost >= 0) {
                world->startNode(lost);
            }
            for (int i = 0; i < nodes; ++i) {
                world->storeFaults(i).down = false;
            }
            world->run(dayLength);
            INFO("store silent from " << at.count() << " ms");
            CHECK(startsOfCrashing(*world) <= maxStartsOfCrashing);
            CHECK(world->state(answeringNode(*world), jobA) == "failed");
            CHECK(countComplete(world.get(), 4) == 4);
        }
    }
}

// Guards against crashes that don't count because the worker was gone before it answered the start.
TEST_CASE("a task whose start is never answered is given up like any other that crashes its workers")
{
    const std::unique_ptr<WorkflowWorld> world = crashWorld(8);
    world->workers.crashDelay = Duration::zero();
    submitOthers(world.get(), 4);
    world->submit(0, jobA, workflowOf({simpleStep(4)}));
    world->run(dayLength);
    CHECK(startsOfCrashing(*world) == 4); // The first start may not have reached its worker.
    CHECK(world->state(answeringNode(*world), jobA) == "failed");
    CHECK(countComplete(world.get(), 4) == 4);
}

// Guards against a job that is failed after one crash: its first start was sent to a worker that had just crashed.
TEST_CASE("a start that never reached its worker does not count as a crash of the task")
{
    const std::unique_ptr<WorkflowWorld> world = crashWorld(3);
    for (const WorkerId id : {"w0", "w1", "w2"}) {
        world->workers.crash(id);
        world->world.after(std::chrono::seconds(2), [&world, id] {
            world->workers.restart(id);
        });
    }
    world->submit(answeringNode(*world), jobA, workflowOf({simpleStep(1)}));
    CHECK(reachesState(*world, answeringNode(*world), jobA, "failed", std::chrono::seconds(30)));
    CHECK(startsOfCrashing(*world) >= 2);
    CHECK(startsOfCrashing(*world) <= 3);
}

// Guards against lasting tasks that crash workers for ever, and against those beside them that wait for too long.
TEST_CASE("a long-running task that crashes its workers is given up, and the others run again soon")
{
    const std::unique_ptr<WorkflowWorld> world = crashWorld(6);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(600000), false);
    };
    StepSpec lasting = simpleStep(3);
    lasting.longRunning = true;
    world->submit(0, jobA, workflowOf({lasting}));
    world->submit(0, jobB, workflowOf({lasting}));
    world->run(std::chrono::seconds(20));
    CHECK(startsOfCrashing(*world) <= 3);
    CHECK(world->state(answeringNode(*world), jobA) == "failed");
    CHECK(world->state(answeringNode(*world), jobB) == "in_progress");
    std::map<std::uint32_t, TimePoint> endedAt;
    int atWork = 0;
    for (const SimWorkers::RunRecord &run : world->workers.runsOf(jobB)) {
        if (endedAt.count(run.task.index) > 0) {
            CHECK((run.began - endedAt[run.task.index] < std::chrono::seconds(9)));
        }
        endedAt[run.task.index] = run.ended;
        atWork += run.ended == TimePoint{} ? 1 : 0;
    }
    CHECK(atWork == 3);
}

// Guards against jobs that are failed because the workers they ran on crashed for other reasons.
TEST_CASE("workers that crash rack by rack fail no job")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 0);
    Resources capacity;
    capacity.milliCores = 4000;
    capacity.memoryMb = 100000;
    std::vector<std::vector<WorkerId>> racks(4);
    for (int i = 0; i < 16; ++i) {
        const WorkerId id = "w" + std::to_string(i);
        const std::size_t rack = static_cast<std::size_t>(i) / 4;
        world->workers.add(id, rack < 2 ? "dc-a" : "dc-b", "r" + std::to_string(rack), capacity);
        racks[rack].push_back(id);
    }
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(1500), false);
    };
    world->run(std::chrono::seconds(1));
    int jobs = 0;
    for (int wave = 0; wave < 12; ++wave) {
        for (int i = 0; i < 8; ++i) {
            world->submit(0, otherJob(jobs++), workflowOf({simpleStep(i == 0 ? 16 : 3)}));
        }
        world->run(Milliseconds(1300));
        crashRack(world.get(), racks[static_cast<std::size_t>(wave) % racks.size()]);
        world->run(Milliseconds(1200));
    }
    world->run(dayLength);
    CHECK(countComplete(world.get(), jobs) == jobs);
    CHECK(world->countInLogs("job_given_up") == 0);
    CHECK(world->workers.tasksRunTwice().empty());
}

// Guards against workers that are cut off and come back, which ended their runs by their leases and did not crash.
TEST_CASE("a job whose workers are cut off again and again is not given up")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 4);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(5000), false);
    };
    world->submit(0, jobA, workflowOf({simpleStep(1)}));
    for (int cut = 0; cut < 4; ++cut) {
        world->run(Milliseconds(300));
        const std::vector<SimWorkers::RunRecord> runs = world->workers.runsOf(jobA);
        REQUIRE_FALSE(runs.empty());
        const WorkerId id = runs.back().worker;
        for (int i = 0; i < nodes; ++i) {
            world->workers.find(id)->cutFrom.insert("node-" + std::to_string(i));
        }
        const std::size_t before = runs.size();
        CHECK(world->runUntil(
            [&world, before] {
                return world->workers.runsOf(jobA).size() > before;
            },
            std::chrono::seconds(10)));
        world->workers.find(id)->cutFrom.clear();
    }
    CHECK(reachesState(*world, answeringNode(*world), jobA, "complete", std::chrono::seconds(20)));
    CHECK(world->countInLogs("job_given_up") == 0);
}

// Guards against LOST: a job is failed because the workers of its new runs were cut off, and its runs only presumed
// over.
TEST_CASE("a job whose workers are cut off one after the other and do not come back is not given up")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 4);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(5000), false);
    };
    world->submit(0, jobA, workflowOf({simpleStep(1)}));
    for (std::size_t cut = 0; cut < 3; ++cut) {
        CHECK(world->runUntil(
            [&world, cut] {
                return world->workers.runsOf(jobA).size() > cut;
            },
            std::chrono::seconds(10)));
        world->run(Milliseconds(100));
        SimWorkers::SimWorker *worker = world->workers.find(world->workers.runsOf(jobA).back().worker);
        for (int i = 0; i < nodes; ++i) {
            worker->cutFrom.insert("node-" + std::to_string(i));
        }
    }
    CHECK(reachesState(*world, answeringNode(*world), jobA, "complete", std::chrono::seconds(20)));
    CHECK(world->countInLogs("job_given_up") == 0);
}

// Guards against a job of which many tasks crash workers, which would take down the fleet at its second start.
TEST_CASE("a job of which all tasks crash workers takes down one worker at a time after the first time")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 12);
    world->workers.crashesWorker = [](const TaskKey &key) {
        return key.job == jobA;
    };
    world->submit(0, jobA, workflowOf({simpleStep(10)}));
    world->run(Milliseconds(100));
    const std::size_t first = world->workers.runsOf(jobA).size();
    std::set<WorkerId> later;
    world->run(dayLength);
    const std::vector<SimWorkers::RunRecord> runs = world->workers.runsOf(jobA);
    for (std::size_t i = first; i < runs.size(); ++i) {
        later.insert(runs[i].worker);
    }
    CHECK(later.size() == 1);
    CHECK(world->state(answeringNode(*world), jobA) == "failed");
}
