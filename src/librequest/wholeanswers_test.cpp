#include "fescueledge/testing/requestworld.h"

#include <catch2/catch.hpp>

using namespace fescueledge;

/// P5: each caller gets the whole answer to its own request, even if answers arrive late, crossed, truncated or twice.
TEST_CASE("each caller gets the whole answer to its own request or a typed failure")
{
    int answered = 0;
    int failed = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        RequestWorld world(seed);
        Random random(seed);
        world.addRack("r1", 3, "n1");
        world.addRack("r2", 3, "n2");
        for (const char *name : {"n1", "n2", "n3"}) {
            RequestNode &node = world.addNode(name);
            node.transport.crossing = 0.1;
            node.transport.twice = 0.1;
        }
        for (const EndpointEntry &it : world.ownership.endpoints) {
            FakeEndpoints::Faults &faults = world.endpoints.at(it.address).faults;
            faults.truncated = faults.crossed = faults.late = faults.reset = 0.03;
            faults.twice = 0.2;
        }
        world.network.loss = 0.02;
        world.world.runFor(std::chrono::seconds(1));
        RequestHistory history;
        for (int n = 0; n < 300; ++n) {
            RequestNode &node = world.node("n" + std::to_string(random.below(3) + 1));
            const std::string body = "b" + std::to_string(n);
            history.ask(node, random.chance(0.5) ? previewRequest(body) : orderRequest(body, ""));
            world.world.runFor(Milliseconds(random.below(8)));
        }
        world.world.runFor(std::chrono::seconds(20));
        for (const auto &it : history.entries()) {
            REQUIRE(it->answers == 1);
            REQUIRE(it->result.requestId == it->request.id);
            if (it->result.ok) {
                ++answered;
                REQUIRE(it->result.response.body == FakeEndpoints::answerTo(it->request.body));
            } else {
                ++failed;
                REQUIRE(it->result.error != ErrorKind::Internal);
            }
        }
    }
    CHECK(answered > 4000);
    CHECK(failed > 100);
}
