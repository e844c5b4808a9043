#include "fescueledge/testing/requestworld.h"

#include <catch2/catch.hpp>

using namespace fescueledge;

namespace {

const std::vector<NodeId> nodeNames{"n1", "n2", "n3"};

/// Injects two faults chosen by @p random.
void injectFaults(RequestWorld &world, Random &random)
{
    for (int n = 0; n < 2; ++n) {
        const NodeId &node = nodeNames[random.below(nodeNames.size())];
        FakeEndpoints::Faults &endpoint =
            world.endpoints.at(world.ownership.endpoints[random.below(world.ownership.endpoints.size())].address)
                .faults;
        switch (random.below(8)) {
        case 0:
            world.node(node).table.faults.down = true;
            break;
        case 1:
            world.node(node).table.faults.loseAnswer = 0.5;
            world.node(node).table.faults.loseRequest = 0.3;
            break;
        case 2:
            world.network.setCut(node, nodeNames[random.below(nodeNames.size())], true);
            break;
        case 3:
            world.restart(node);
            break;
        case 4:
            world.ownership.mayNotAct.insert(node);
            break;
        case 5:
            endpoint.refuse = 0.7;
            endpoint.reset = 0.2;
            endpoint.cut = 0.2;
            break;
        case 6:
            endpoint.late = 0.5;
            endpoint.slowdown = 40;
            break;
        default:
            world.node(node).loop.pause();
            break;
        }
    }
}

void clearFaults(RequestWorld &world)
{
    world.ownership.mayNotAct.clear();
    for (const NodeId &name : nodeNames) {
        RequestNode &node = world.node(name);
        node.table.faults = FakeTableService::Faults();
        node.loop.resume();
        for (const NodeId &other : nodeNames) {
            world.network.setCut(name, other, false);
        }
    }
    for (const EndpointEntry &it : world.ownership.endpoints) {
        world.endpoints.at(it.address).faults = FakeEndpoints::Faults();
    }
}

} // namespace

/// P6: a request that is refused as "not run" has not run and does not run later.
TEST_CASE("not run is answered only for requests that never ran")
{
    int notRun = 0;
    int unknown = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        RequestWorld world(seed);
        Random random(seed);
        world.addRack("r1", 2, "n1");
        world.addRack("r2", 2, "n2");
        world.pool().queue = 8;
        for (const NodeId &name : nodeNames) {
            world.addNode(name);
        }
        RequestHistory history;
        for (int n = 0; n < 400; ++n) {
            if (n % 40 == 0) {
                clearFaults(world);
                world.world.runFor(std::chrono::seconds(1));
                injectFaults(world, random);
            }
            RequestNode &node = world.node(nodeNames[random.below(nodeNames.size())]);
            const std::string body = "b" + std::to_string(n);
            const std::string key = random.chance(0.5) ? "k" + std::to_string(n / 2) : "";
            history.ask(node, random.chance(0.3) ? previewRequest(body) : orderRequest(body, key));
            world.world.runFor(Milliseconds(random.below(3)));
        }
        clearFaults(world);
        world.world.runFor(std::chrono::seconds(30));
        for (const auto &it : history.entries()) {
            REQUIRE(it->answers <= 1);
            if (it->answers == 1 && !it->result.ok && it->result.outcome == RunOutcome::NotRun) {
                ++notRun;
                INFO("seed " << seed << " request " << it->request.id << " " << it->result.message);
                REQUIRE(world.endpoints.runsOfRequest(it->request.id) == 0);
            }
            unknown += it->answers == 1 && !it->result.ok && it->result.outcome != RunOutcome::NotRun ? 1 : 0;
        }
    }
    CHECK(notRun > 500);
    CHECK(unknown > 100);
}
