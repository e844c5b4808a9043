#include "fescueledge/testing/requestworld.h"

#include <catch2/catch.hpp>

using namespace fescueledge;

namespace {

/// An endpoint may run a request until its deadline; the next owner counts inherited requests for this time.
constexpr Milliseconds inheritedWindow{1500};

void load(RequestWorld &world, RequestHistory &history, Random &random, int requests)
{
    for (int n = 0; n < requests; ++n) {
        const std::string body = "b" + std::to_string(history.entries().size());
        RequestNode &node = world.node("n" + std::to_string(random.below(2) + 1));
        history.ask(node, random.chance(0.5) ? previewRequest(body) : orderRequest(body, ""));
        world.world.runFor(std::chrono::microseconds(random.below(500)));
    }
}

void checkCapacity(RequestWorld &world)
{
    for (const EndpointEntry &it : world.ownership.endpoints) {
        const FakeEndpoints::Endpoint &endpoint = world.endpoints.at(it.address);
        REQUIRE(endpoint.maxServing <= world.pool().slots);
        REQUIRE(endpoint.maxOpen <= std::min(world.pool().slots, world.pool().connections));
    }
}

} // namespace

/// P1: no endpoint gets more requests than it has slots and connections: under overload, with endpoints that are slow,
/// answer late or reset connections, and across hand-over and takeover of its shard.
TEST_CASE("slots and connections are never exceeded through hand-over and kills")
{
    int fullEndpoints = 0;
    for (std::uint64_t seed = 1; seed <= 15; ++seed) {
        INFO("seed " << seed);
        RequestWorld world(seed);
        Random random(seed);
        world.addRack("r1", 2, "n1");
        world.addRack("r2", 2, "n2");
        world.pool().slots = 8;
        world.pool().connections = seed % 3 == 0 ? 5 : 64;
        world.addNode("n1");
        world.addNode("n2");
        for (const EndpointEntry &it : world.ownership.endpoints) {
            FakeEndpoints::Endpoint &endpoint = world.endpoints.at(it.address);
            endpoint.serviceMs = 30;
            endpoint.faults.slowdown = random.chance(0.3) ? 30 : 1;
            endpoint.faults.reset = random.chance(0.3) ? 0.2 : 0;
            endpoint.faults.cut = random.chance(0.3) ? 0.2 : 0;
            endpoint.faults.late = random.chance(0.3) ? 0.2 : 0;
        }
        RequestHistory history;
        load(world, history, random, 600);
        // Planned hand-over: n2 counts the requests that n1 still has in flight.
        const ShardId shard = rackShard("a", "r1");
        world.moveShard(shard, "n2", 0);
        for (const char *worker : {"r1w0", "r1w1"}) {
            world.ownership.inheritedRequests[worker] = world.node("n1").dispatcher.inFlight(worker);
        }
        load(world, history, random, 600);
        world.world.runFor(inheritedWindow);
        world.ownership.inheritedRequests.clear();
        load(world, history, random, 300);
        // Takeover after a kill: the requests in flight are unknown, so all slots count as in use.
        world.kill("n2");
        world.moveShard(shard, "n1", world.pool().slots);
        world.moveShard(rackShard("a", "r2"), "n1", world.pool().slots);
        world.addNode("n2");
        world.network.setIsolated("n2", false);
        load(world, history, random, 300);
        world.world.runFor(inheritedWindow);
        world.ownership.inheritedRequests.clear();
        load(world, history, random, 600);
        world.world.runFor(std::chrono::seconds(5));
        checkCapacity(world);
        for (const EndpointEntry &it : world.ownership.endpoints) {
            const int limit = std::min(world.pool().slots, world.pool().connections);
            fullEndpoints += world.endpoints.at(it.address).maxServing == limit ? 1 : 0;
        }
    }
    CHECK(fullEndpoints > 40);
}
