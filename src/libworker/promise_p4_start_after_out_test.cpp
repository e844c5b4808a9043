// P4: no task starts in a data centre more than 3 s after the operator received the answer that it is out of service.

#include "workertestworld_pvt.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace fescueledge;

namespace {

const DataCentreId outDataCentre = "dc0";
constexpr std::chrono::seconds startBound{3};

struct StartCounts
{
    int startsBefore = 0;
    int startsAfterBound = 0;
};

/// Takes dc0 out of service after @p fault, under a steady flow of short tasks, and counts starts there.
StartCounts countStartsUnderFault(std::uint64_t seed, const std::function<void(WorkerTestWorld *)> &fault)
{
    WorkerTestSettings settings;
    settings.nodes = 3;
    settings.seed = seed;
    WorkerTestWorld world(settings);
    world.fleet.faults.late = 0.3;
    world.fleet.faults.duplicate = 0.3;
    world.fleet.faults.lateBy = std::chrono::seconds(12);
    world.fleet.faults.loseReply = 0.1;
    world.fleet.faults.loseRequest = 0.4;
    world.fleet.behaviourOf = [](const TaskCommand &) {
        FakeTaskBehaviour behaviour;
        behaviour.duration = std::chrono::seconds(2);
        return behaviour;
    };
    StartCounts observed;
    TimePoint answered = TimePoint::max();
    world.fleet.onStart = [&world, &observed, &answered](const VmEntry &vm, const TaskCommand &) {
        const bool late = answered != TimePoint::max() && world.world.now() > answered + startBound;
        observed.startsBefore += vm.dataCentre == outDataCentre && answered == TimePoint::max() ? 1 : 0;
        observed.startsAfterBound += vm.dataCentre == outDataCentre && late ? 1 : 0;
    };
    world.addJob("job", 1500, {1000, 2000, 0});
    world.world.runFor(std::chrono::seconds(10));
    fault(&world);
    world.setDataCentreOut(outDataCentre, true);
    const auto inForce = [&world] {
        return world.ownership.inForce();
    };
    REQUIRE(world.world.runUntil(inForce, std::chrono::seconds(8)));
    answered = world.world.now();
    world.world.runFor(std::chrono::seconds(40));
    REQUIRE(world.fleet.violations.empty());
    return observed;
}

void check(const std::function<void(WorkerTestWorld *)> &fault)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const StartCounts observed = countStartsUnderFault(seed, fault);
        CAPTURE(seed);
        CHECK(observed.startsBefore > 20);
        CHECK(observed.startsAfterBound == 0);
    }
}

} // namespace

TEST_CASE("P4: no start after the answer despite late and repeated messages")
{
    check([](WorkerTestWorld *) {});
}

TEST_CASE("P4: no start from an owner that is cut off from the control state")
{
    check([](WorkerTestWorld *world) {
        world->nodes[0]->authority.cut = true;
        world->nodes[1]->authority.cut = true;
    });
}

TEST_CASE("P4: no start from a paused owner that resumes")
{
    check([](WorkerTestWorld *world) {
        SimLoop *loop = &world->nodes[0]->loop;
        loop->pause();
        world->world.after(std::chrono::seconds(12), [loop] {
            loop->resume();
        });
    });
}

TEST_CASE("P4: tasks move out of a data centre that is out of service with their state, and the others stay in service")
{
    WorkerTestWorld world{WorkerTestSettings()};
    world.fleet.behaviourOf = [](const TaskCommand &) {
        FakeTaskBehaviour behaviour;
        behaviour.duration = std::chrono::seconds(100);
        return behaviour;
    };
    world.addJob("job", 40, {2000, 4000, 0});
    world.world.runFor(std::chrono::seconds(50));
    world.setDataCentreOut(outDataCentre, true);
    world.world.runFor(std::chrono::seconds(10));
    for (const VmEntry &vm : world.list) {
        CHECK((vm.dataCentre != outDataCentre || world.fleet.runningOn(vm.name) == 0));
    }
    for (const std::unique_ptr<WorkerTestNode> &node : world.nodes) {
        for (const EndpointEntry &entry : node->controller->endpointsOf("counter")) {
            CHECK(entry.acceptsNewRequests == (entry.dataCentre != outDataCentre));
        }
    }
    REQUIRE(world.runUntilDone(40, std::chrono::minutes(10)));
    CHECK(world.fleet.totals.workLost == 0);
    CHECK(world.fleet.totals.finished == 40);
    CHECK(world.fleet.violations.empty());
}
