// Workers whose capacity shrinks and grows while they run, and workers that refuse starts for lack of room.
#include "fleettable_pvt.h"
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

constexpr Milliseconds listDelay{500}; ///< More than the coordinator needs to act on a changed entry.
constexpr std::chrono::seconds longSpan{10};

Resources cores(std::int64_t n)
{
    Resources capacity;
    capacity.milliCores = n * 1000;
    capacity.memoryMb = 100000;
    return capacity;
}

std::size_t activeOn(WorkflowWorld &world, const WorkerId &worker)
{
    return world.workers.find(worker)->active.size();
}

/// Tasks that last until they are stopped.
void runForever(WorkflowWorld &world)
{
    world.workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(600000), false);
    };
}

/// Counts the start orders that @p worker refuses for lack of room.
std::shared_ptr<int> refuseStarts(WorkflowWorld &world, const WorkerId &worker)
{
    std::shared_ptr<int> refused = std::make_shared<int>(0);
    world.workers.lacksRoom = [worker, refused](const SimWorkers::SimWorker &at, const StartOrder &) {
        *refused += at.entry.id == worker ? 1 : 0;
        return at.entry.id == worker;
    };
    return refused;
}

} // namespace

// Guards against a load of fillers that stays for good: it was added as a share of one capacity and subtracted as a
// share of another, so no filler was placed beside serving tasks there any more.
TEST_CASE("the filler load of a worker whose capacity changed follows it, and is gone with the last filler")
{
    WorkflowSpec spec = workflowOf({simpleStep(2)});
    spec.steps[0].perTask.milliCores = 4000;
    spec.steps[0].filler = true;
    spec.steps[0].image = "grind";
    Job job;
    job.id = jobA;
    job.spec = spec;
    Occurrence occurrence;
    occurrence.job = &job;
    Step step;
    step.occurrence = &occurrence;
    step.spec = &job.spec.steps[0];
    step.tasks.resize(2);
    for (Task &task : step.tasks) {
        task.step = &step;
        task.index = static_cast<std::uint32_t>(&task - step.tasks.data());
    }
    for (const std::int64_t changed : {4, 64, 0}) {
        FleetTable fleet;
        WorkerEntry entry;
        entry.id = "w0";
        entry.capacity = cores(16);
        Worker *worker = fleet.upsert(entry, TimePoint{});
        FleetTable::place(&step.tasks[0], worker);
        FleetTable::place(&step.tasks[1], worker);
        CHECK(worker->fillerLoad["grind"] == Approx(0.5));
        entry.capacity = cores(changed);
        fleet.upsert(entry, TimePoint{});
        CHECK(worker->fillerLoad["grind"] == Approx(8000.0 / std::max(1.0, 1000.0 * static_cast<double>(changed))));
        FleetTable::release(&step.tasks[0]);
        entry.capacity = cores(16);
        fleet.upsert(entry, TimePoint{});
        CHECK(worker->fillerLoad["grind"] == Approx(0.25));
        FleetTable::release(&step.tasks[1]);
        CHECK(worker->fillerLoad.empty());
        CHECK(worker->busyMilliCores == Approx(0).margin(1e-6));
    }
}

// Guards against starts beyond a capacity that has shrunk, and against evictions because of it.
TEST_CASE(
    "a worker with more than its room takes no more and keeps what it runs, and is used at once when it has grown")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, 1, 4);
    runForever(*world);
    world->submit(0, jobA, workflowOf({simpleStep(3)}));
    world->run(listDelay);
    REQUIRE(activeOn(*world, "w0") == 3);
    world->workers.setCapacity("w0", cores(2));
    world->run(listDelay);
    world->submit(0, jobB, workflowOf({simpleStep(3)}));
    world->run(longSpan);
    CHECK(activeOn(*world, "w0") == 3);
    CHECK(world->workers.runsOf(jobB).empty());
    world->workers.setCapacity("w0", cores(5));
    world->run(listDelay);
    CHECK(activeOn(*world, "w0") == 5);
    world->workers.setCapacity("w0", cores(6));
    world->run(listDelay);
    CHECK(activeOn(*world, "w0") == 6);
    CHECK(world->workers.runs().size() == 6);
    CHECK(world->workers.tasksRunTwice().empty());
}

// Guards against a refused start that is repeated every 150 ms for as long as the worker has no room.
TEST_CASE("a worker that goes on refusing starts for lack of room is asked more and more rarely, and others are used")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, 2, 4);
    const std::shared_ptr<int> refused = refuseStarts(*world, "w0");
    runForever(*world);
    world->submit(0, jobA, workflowOf({simpleStep(8)}));
    world->run(listDelay);
    CHECK(activeOn(*world, "w1") == 4);
    *refused = 0;
    world->run(longSpan);
    CHECK(*refused > 0);
    CHECK(*refused <= 20);
    world->workers.lacksRoom = nullptr;
    world->run(std::chrono::seconds(3));
    CHECK(activeOn(*world, "w0") == 4);
    CHECK(world->workers.tasksRunTwice().empty());
}

// Guards against a worker that stays out of use after its capacity has grown or a run on it has ended.
TEST_CASE("a worker that refused starts is asked again at once when its entry changes or a run on it ends")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, 1, 4);
    world->workers.workOf = [](const TaskKey &key) {
        return std::make_pair(key.job == jobA ? Milliseconds(13000) : Milliseconds(600000), false);
    };
    world->submit(0, jobA, workflowOf({simpleStep(1)}));
    world->run(listDelay);
    REQUIRE(activeOn(*world, "w0") == 1);
    refuseStarts(*world, "w0");
    world->submit(0, jobB, workflowOf({simpleStep(2)}));
    world->run(longSpan);
    CHECK(world->workers.runsOf(jobB).empty());
    SECTION("its entry changes")
    {
        world->workers.lacksRoom = nullptr;
        world->workers.setCapacity("w0", cores(5));
        world->run(listDelay);
    }
    SECTION("a run on it ends")
    {
        REQUIRE(world->runUntil(
            [&] {
                return world->state(0, jobA) == "complete";
            },
            longSpan));
        world->workers.lacksRoom = nullptr;
        world->run(listDelay);
    }
    CHECK(world->workers.runsOf(jobB).size() == 2);
}

// Guards against a wait that is forgotten with each attempt to place a gang.
TEST_CASE("a gang that finds no place does not end the wait of a worker that refuses starts")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, 1, 4);
    const std::shared_ptr<int> refused = refuseStarts(*world, "w0");
    StepSpec gang = simpleStep(6);
    gang.gang = true;
    world->submit(0, jobA, workflowOf({gang}));
    world->submit(0, jobB, workflowOf({simpleStep(4)}));
    world->run(longSpan);
    CHECK(*refused > 0);
    CHECK(*refused <= 20);
}
