// P8: a leaving endpoint receives no new work more than 3 s after the VM list shows it as leaving.

#include "workertestworld_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;

namespace {

const WorkerId leavingWorker = "w01";
constexpr std::chrono::seconds startBound{3};

bool acceptsNewRequests(const WorkerTestWorld &world)
{
    for (const std::unique_ptr<WorkerTestNode> &node : world.nodes) {
        for (const EndpointEntry &entry : node->controller->endpointsOf("counter")) {
            if (entry.worker == leavingWorker && entry.acceptsNewRequests && node->loop.isAlive()) {
                return true;
            }
        }
    }
    return false;
}

/// Marks w01 as leaving under a steady flow of tasks; returns the number of starts there after the bound.
int startsAfterBound(std::uint64_t seed, bool killOwner)
{
    WorkerTestSettings settings;
    settings.nodes = 3;
    settings.seed = seed;
    WorkerTestWorld world(settings);
    world.fleet.faults.late = 0.3;
    world.fleet.faults.duplicate = 0.3;
    world.fleet.faults.lateBy = std::chrono::seconds(12);
    world.fleet.behaviourOf = [](const TaskCommand &) {
        FakeTaskBehaviour behaviour;
        behaviour.duration = std::chrono::seconds(2);
        return behaviour;
    };
    int before = 0;
    int after = 0;
    TimePoint shown = TimePoint::max();
    world.fleet.onStart = [&world, &before, &after, &shown](const VmEntry &vm, const TaskCommand &) {
        const bool late = shown != TimePoint::max() && world.world.now() > shown + startBound;
        before += vm.name == leavingWorker && !late ? 1 : 0;
        after += vm.name == leavingWorker && late ? 1 : 0;
    };
    world.addJob("job", 1500, {1000, 2000, 0});
    world.world.runFor(Milliseconds(10000 + 130 * static_cast<int>(seed)));
    REQUIRE(acceptsNewRequests(world));
    world.vm(leavingWorker).state = VmEntry::State::Leaving;
    shown = world.world.now();
    if (killOwner) {
        world.killNode(world.ownerOf(leavingWorker).authority.self());
    }
    world.world.runFor(startBound);
    CHECK_FALSE(acceptsNewRequests(world));
    world.world.runFor(std::chrono::seconds(30));
    CHECK_FALSE(acceptsNewRequests(world));
    CHECK(world.fleet.runningOn(leavingWorker) == 0);
    CHECK(world.fleet.violations.empty());
    CHECK(before > 5);
    return after;
}

} // namespace

TEST_CASE("P8: a leaving worker gets no start despite late and repeated messages")
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        CAPTURE(seed);
        CHECK(startsAfterBound(seed, false) == 0);
    }
}

TEST_CASE("P8: a leaving worker gets no start from its next owner")
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        CAPTURE(seed);
        CHECK(startsAfterBound(seed, true) == 0);
    }
}
