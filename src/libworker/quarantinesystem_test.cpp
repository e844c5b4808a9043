#include "workertestworld_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;

namespace {

constexpr int jobs = 60;

bool quarantined(const WorkerTestWorld &world, const WorkerId &worker)
{
    for (const std::unique_ptr<WorkerTestNode> &node : world.nodes) {
        for (const WorkerStatus &status : node->controller->status()) {
            if (status.worker == worker && status.quarantined) {
                return true;
            }
        }
    }
    return false;
}

void addJobs(WorkerTestWorld *world, const std::string &prefix, int count)
{
    for (int i = 0; i < count; ++i) {
        world->addJob(prefix + std::to_string(i), 1, {2000, 4000, 0});
    }
}

} // namespace

TEST_CASE("A worker on which every attempt fails is quarantined, probed and released")
{
    WorkerTestWorld world{WorkerTestSettings()};
    world.fleet.setFailsAll("w05", true);
    addJobs(&world, "job", jobs);
    world.world.runFor(std::chrono::seconds(20));
    REQUIRE(quarantined(world, "w05"));
    REQUIRE(world.runUntilDone(jobs, std::chrono::minutes(20)));
    CHECK(world.fleet.totals.failed <= 10);
    world.fleet.setFailsAll("w05", false);
    addJobs(&world, "more", 400);
    REQUIRE(world.runUntilDone(jobs + 400, std::chrono::minutes(60)));
    CHECK_FALSE(quarantined(world, "w05"));
}

TEST_CASE("Jobs that fail everywhere do not quarantine a worker")
{
    WorkerTestWorld world{WorkerTestSettings()};
    world.fleet.behaviourOf = [](const TaskCommand &command) {
        FakeTaskBehaviour behaviour;
        behaviour.fails = command.task.compare(0, 3, "bad") == 0;
        return behaviour;
    };
    world.queue.maxAttemptsPerTask = 6;
    world.addJob("bad", 40, {2000, 4000, 0});
    addJobs(&world, "job", jobs);
    REQUIRE(world.runUntilDone(jobs + 40, std::chrono::minutes(20)));
    for (const VmEntry &vm : world.list) {
        CHECK_FALSE(quarantined(world, vm.name));
    }
    CHECK(world.queue.givenUp.size() == 40);
}

TEST_CASE("Latency-critical work preempts batch work as a last resort, and the batch work keeps its state")
{
    WorkerTestSettings settings;
    settings.nodes = 1;
    WorkerTestWorld world(settings);
    world.addJob("job", 60, {2000, 4000, 0});
    world.world.runFor(std::chrono::seconds(20));
    world.addJob("urgent", 2, {4000, 4000, 0}, TaskClass::LatencyCritical);
    world.world.runFor(std::chrono::seconds(10));
    CHECK(world.fleet.totals.checkpointed >= 2);
    CHECK(world.fleet.totals.checkpointed <= 4);
    REQUIRE(world.runUntilDone(62, std::chrono::minutes(20)));
    CHECK(world.fleet.totals.workLost == 0);
    CHECK(world.fleet.violations.empty());
}

TEST_CASE("Interfering batch work is throttled before any of it is evicted")
{
    WorkerTestSettings settings;
    settings.targetP99 = Milliseconds(30);
    WorkerTestWorld world(settings);
    world.fleet.behaviourOf = [](const TaskCommand &) {
        FakeTaskBehaviour behaviour;
        behaviour.duration = std::chrono::seconds(200);
        behaviour.use = {2000, 2000, 0};
        behaviour.interference = 6;
        return behaviour;
    };
    world.addJob("job", 48, {2000, 4000, 0});
    world.world.runFor(std::chrono::seconds(60));
    int slow = 0;
    for (int second = 0; second < 100; ++second) {
        world.world.runFor(std::chrono::seconds(1));
        for (const VmEntry &vm : world.list) {
            slow += world.fleet.trueP99Ms(vm.name) > 30 ? 1 : 0;
        }
    }
    CHECK(slow < 160); // A tenth of the samples; without interference control every sample is slow.
    CHECK(world.fleet.totals.throttles > 0);
    CHECK(world.queue.evicted == 0);
}
