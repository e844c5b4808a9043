#include "fescueledge/testing/requestworld.h"

#include <catch2/catch.hpp>

using namespace fescueledge;

/// P9: a planned stop interrupts no request in flight. A node is drained under load; when the drain is done, its shard
/// is handed over and its process ends.
TEST_CASE("a graceful stop under load fails no request")
{
    std::size_t refused = 0;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        INFO("seed " << seed);
        RequestWorld world(seed);
        Random random(seed);
        world.addRack("r1", 4, "n1");
        world.addRack("r2", 4, "n2");
        world.addRack("r3", 4, "n3");
        for (const char *name : {"n1", "n2", "n3"}) {
            world.addNode(name).table.faults.loseAnswer = random.chance(0.3) ? 0.2 : 0;
        }
        for (const EndpointEntry &it : world.ownership.endpoints) {
            world.endpoints.at(it.address).serviceMs = 20;
            world.endpoints.at(it.address).faults.slowdown = random.chance(0.2) ? 5 : 1;
        }
        world.world.runFor(std::chrono::seconds(1));
        const int drainAt = 100 + static_cast<int>(random.below(200));
        bool ended = false;
        RequestHistory history;
        for (int n = 0; n < 500; ++n) {
            if (n == drainAt) {
                RequestNode &node = world.node("n1");
                node.loop.post([&world, &node, &ended] {
                    node.dispatcher.drain([&world, &ended] {
                        world.moveShard(rackShard("a", "r1"), "n2", 0);
                        world.kill("n1");
                        ended = true;
                    });
                });
            }
            const NodeId name = "n" + std::to_string(random.below(3) + 1);
            if (name != "n1" || !ended) {
                const std::string body = "b" + std::to_string(n);
                const std::string key = random.chance(0.2) ? body : "";
                history.ask(world.node(name), random.chance(0.5) ? previewRequest(body) : orderRequest(body, key));
            }
            world.world.runFor(Milliseconds(random.below(4)));
        }
        world.world.runFor(std::chrono::seconds(20));
        REQUIRE(ended);
        for (const auto &it : history.entries()) {
            REQUIRE(it->answers == 1);
            if (it->result.ok) {
                continue;
            }
            INFO("request " << it->request.id << " through " << it->node << ": " << it->result.message);
            // Only requests that reach the draining node too late may fail, and keyed requests for which the store's
            // response was lost.
            const bool isRefused =
                it->result.outcome == RunOutcome::NotRun && it->result.error == ErrorKind::ShuttingDown;
            const bool isStore = it->result.outcome == RunOutcome::NotRun && !it->request.key.empty()
                && it->result.error == ErrorKind::StoreOutcomeUnknown;
            REQUIRE((isRefused || isStore));
            REQUIRE((!isRefused || it->node == "n1"));
            refused += isRefused ? 1 : 0;
        }
    }
    CHECK(refused > 30);
}
