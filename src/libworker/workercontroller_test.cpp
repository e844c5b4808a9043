#include "fescueledge/authority.h"
#include "workertestworld_pvt.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace fescueledge;

namespace {

const Resources taskSize{2000, 4000, 0};

int adopted(const WorkerTestWorld &world)
{
    int count = 0;
    for (const std::unique_ptr<WorkerTestNode> &node : world.nodes) {
        for (const WorkerStatus &status : node->controller->status()) {
            count += status.adopted ? 1 : 0;
        }
    }
    return count;
}

} // namespace

TEST_CASE("Workers are adopted and run each task to completion once")
{
    WorkerTestWorld world{WorkerTestSettings()};
    world.world.runFor(std::chrono::seconds(3));
    REQUIRE(adopted(world) == 16);
    world.addJob("job", 100, taskSize);
    REQUIRE(world.runUntilDone(100, std::chrono::minutes(10)));
    CHECK(world.fleet.violations.empty());
    CHECK(world.fleet.finishes.size() == 100);
    CHECK(world.fleet.totals.finished == 100);
    world.world.runFor(std::chrono::seconds(10));
    CHECK(world.nodes[0]->controller->status()[0].committed == Resources());
}

TEST_CASE("A new owner accounts for the attempts that the killed owner started")
{
    WorkerTestWorld world{WorkerTestSettings()};
    world.fleet.behaviourOf = [](const TaskCommand &) {
        FakeTaskBehaviour behaviour;
        behaviour.duration = std::chrono::seconds(40);
        return behaviour;
    };
    world.addJob("job", 48, taskSize);
    world.world.runFor(std::chrono::seconds(10));
    REQUIRE(world.fleet.totals.started == 48);
    world.killNode("n0");
    world.world.runFor(std::chrono::seconds(8));
    int committed = 0;
    for (const WorkerStatus &status : world.nodes[1]->controller->status()) {
        committed += static_cast<int>(status.committed.milliCores);
    }
    CHECK(committed == 48 * 2000);
    REQUIRE(world.runUntilDone(48, std::chrono::minutes(10)));
    CHECK(world.fleet.totals.started == 48);
    CHECK(world.fleet.violations.empty());
}

TEST_CASE("The attempts of a removed VM run again on other workers")
{
    WorkerTestWorld world{WorkerTestSettings()};
    world.addJob("job", 48, taskSize);
    world.world.runFor(std::chrono::seconds(10));
    world.removeVm("w00");
    REQUIRE(world.runUntilDone(48, std::chrono::minutes(10)));
    CHECK(world.queue.lost == 3);
    CHECK(world.fleet.violations.empty());
}

TEST_CASE("A worker whose replies are lost runs no second attempt beside the first")
{
    WorkerTestWorld world{WorkerTestSettings()};
    world.fleet.behaviourOf = [](const TaskCommand &) {
        FakeTaskBehaviour behaviour;
        behaviour.duration = std::chrono::minutes(3);
        return behaviour;
    };
    world.addJob("job", 24, taskSize); // Half of the capacity is free for second attempts.
    world.world.runFor(std::chrono::seconds(10));
    world.fleet.setCut("n0", false, true);
    world.world.runFor(std::chrono::seconds(90));
    CHECK(world.queue.lost >= 8);
    world.fleet.setCut("n0", false, false);
    REQUIRE(world.runUntilDone(24, std::chrono::minutes(20)));
    CHECK(world.fleet.violations.empty());
    CHECK(world.fleet.totals.finished == 24);
}

TEST_CASE("Placement decisions can be explained")
{
    WorkerTestWorld world{WorkerTestSettings()};
    world.world.runFor(std::chrono::seconds(3));
    world.vm("w01").state = VmEntry::State::Leaving;
    world.world.runFor(std::chrono::seconds(2));
    world.addJob("job", 1, taskSize);
    world.world.runFor(std::chrono::seconds(2));
    std::vector<PlacementDecision> decisions;
    for (const std::unique_ptr<WorkerTestNode> &node : world.nodes) {
        for (const PlacementDecision &decision : node->controller->explain("job/0")) {
            decisions.push_back(decision);
        }
    }
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].strategy == "measured");
    CHECK(!decisions[0].chosen.empty());
    CHECK(decisions[0].candidates.size() == 8);
    const auto it = std::find_if(decisions[0].candidates.begin(), decisions[0].candidates.end(),
                                 [](const PlacementDecision::Candidate &candidate) {
                                     return candidate.worker == "w01";
                                 });
    REQUIRE(it != decisions[0].candidates.end());
    CHECK(it->exclusionReason == ExclusionReason::Leaving);
}
