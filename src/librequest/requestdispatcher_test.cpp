#include "fescueledge/testing/requestworld.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace fescueledge;

namespace {

std::optional<DispatchResult> ask(RequestWorld &world, RequestNode &node, const ServiceRequest &request,
                                  Duration limit = std::chrono::seconds(10))
{
    std::optional<DispatchResult> result;
    node.dispatch(request, [&result](const DispatchResult &it) {
        result = it;
    });
    world.world.runUntil(
        [&result] {
            return result.has_value();
        },
        limit);
    return result;
}

} // namespace

TEST_CASE("a request is answered by an endpoint of the node's own rack")
{
    RequestWorld world(1);
    world.addRack("r1", 4, "n1");
    RequestNode &node = world.addNode("n1");
    const std::optional<DispatchResult> result = ask(world, node, previewRequest("x"));
    REQUIRE(result);
    CHECK(result->ok);
    CHECK(result->response.body == FakeEndpoints::answerTo("x"));
    CHECK(result->node == "n1");
    const std::optional<DecisionRecord> record = node.dispatcher.explain(result->requestId);
    REQUIRE(record);
    CHECK(record->steps.size() == 3);
    CHECK(record->steps[1].chosen == result->worker);
    CHECK(record->steps[1].candidates.size() == 4);
}

TEST_CASE("a node without endpoints forwards once to an owner")
{
    RequestWorld world(2);
    world.addRack("r1", 4, "n1");
    world.addNode("n1");
    RequestNode &node = world.addNode("n2");
    world.world.runFor(std::chrono::seconds(1));
    const std::optional<DispatchResult> result = ask(world, node, previewRequest("x"));
    REQUIRE(result);
    CHECK(result->ok);
    CHECK(result->node == "n1");
    CHECK(world.node("n1").dispatcher.statistics().forwardsServed == 1);
}

TEST_CASE("requests without a route, over the customer limit or with a full queue are refused as not run")
{
    RequestWorld world(3);
    world.addRack("r1", 1, "n1");
    world.pool().customerLimit = 10;
    world.pool().queue = 1;
    RequestNode &node = world.addNode("n1");
    ServiceRequest unknown = previewRequest("x");
    unknown.path = "/nowhere";
    CHECK(ask(world, node, unknown)->error == ErrorKind::NoRoute);

    std::map<ErrorKind, int> refusals;
    int answered = 0;
    for (int n = 0; n < 12; ++n) {
        node.dispatch(orderRequest("o" + std::to_string(n), ""), [&](const DispatchResult &result) {
            answered += result.ok ? 1 : 0;
            if (!result.ok) {
                CHECK(result.outcome == RunOutcome::NotRun);
                ++refusals[result.error];
            }
        });
    }
    world.world.runFor(std::chrono::seconds(3));
    CHECK(answered == 9);
    CHECK(refusals[ErrorKind::NoCapacity] == 1);
    CHECK(refusals[ErrorKind::LimitExceeded] == 2);
}

TEST_CASE("the more urgent requests go first and the least urgent are shed")
{
    RequestWorld world(4);
    world.addRack("r1", 1, "n1");
    world.pool().slots = 1;
    world.pool().queue = 2;
    RequestNode &node = world.addNode("n1");
    std::vector<std::string> order;
    for (const char *urgency : {"u=3", "u=5", "u=6", "u=0"}) {
        ServiceRequest request = orderRequest(urgency, "");
        request.headers["priority"] = urgency;
        node.dispatch(request, [&order, urgency](const DispatchResult &result) {
            order.push_back(std::string(urgency) + (result.ok ? "" : " shed"));
        });
    }
    world.world.runFor(std::chrono::seconds(3));
    CHECK(order == std::vector<std::string>{"u=6 shed", "u=3", "u=0", "u=5"});
}

TEST_CASE("a request that would wait past its deadline is refused at once")
{
    RequestWorld world(5);
    world.addRack("r1", 1, "n1");
    world.pool().slots = 1;
    world.route("order").deadline = Milliseconds(100);
    RequestNode &node = world.addNode("n1");
    world.endpoints.at("r1w0").serviceMs = 40;
    for (int n = 0; n < 200; ++n) {
        ask(world, node, orderRequest("w" + std::to_string(n), ""));
    }
    const TimePoint started = world.world.now();
    int refusedAtOnce = 0;
    for (int n = 0; n < 10; ++n) {
        node.dispatch(orderRequest("b" + std::to_string(n), ""), [&](const DispatchResult &result) {
            refusedAtOnce += !result.ok && world.world.now() - started < Milliseconds(5) ? 1 : 0;
        });
    }
    world.world.runFor(std::chrono::seconds(1));
    CHECK(refusedAtOnce >= 7);
}

TEST_CASE("an endpoint that fails all requests is ejected, and readmitted after a successful probe")
{
    RequestWorld world(6);
    world.addRack("r1", 4, "n1");
    RequestNode &node = world.addNode("n1");
    world.endpoints.at("r1w0").faults.failsAllRequests = true;
    int failed = 0;
    for (int n = 0; n < 200; ++n) {
        const std::optional<DispatchResult> result = ask(world, node, previewRequest("x" + std::to_string(n)));
        failed += result->response.status != 200 ? 1 : 0;
    }
    CHECK(failed == 0);
    CHECK(node.dispatcher.statistics().ejections >= 1);
    CHECK(node.dispatcher.statistics().ejected == 1);
    world.endpoints.at("r1w0").faults.failsAllRequests = false;
    world.world.runFor(std::chrono::seconds(40));
    for (int n = 0; n < 50; ++n) {
        ask(world, node, previewRequest("y" + std::to_string(n)));
    }
    CHECK(node.dispatcher.statistics().ejected == 0);
}

TEST_CASE("no more than half of the endpoints are ejected")
{
    RequestWorld world(7);
    world.addRack("r1", 6, "n1");
    RequestNode &node = world.addNode("n1");
    for (int n = 0; n < 6; ++n) {
        world.endpoints.at("r1w" + std::to_string(n)).faults.failsAllRequests = true;
    }
    for (int n = 0; n < 200; ++n) {
        ask(world, node, orderRequest("x" + std::to_string(n), ""));
        CHECK(node.dispatcher.statistics().ejected <= 3);
    }
    CHECK(node.dispatcher.statistics().ejected == 3);
}

TEST_CASE("retries stay within the budget of the pool")
{
    RequestWorld world(8);
    world.addRack("r1", 4, "n1");
    RequestPolicy policy;
    policy.ejection = false;
    RequestNode &node = world.addNode("n1", policy);
    for (int n = 0; n < 4; ++n) {
        world.endpoints.at("r1w" + std::to_string(n)).faults.reset = 1;
    }
    for (int n = 0; n < 500; ++n) {
        ask(world, node, previewRequest("x" + std::to_string(n)));
        world.world.runFor(std::chrono::milliseconds(200));
    }
    const RequestStatistics statistics = node.dispatcher.statistics();
    CHECK(statistics.retries + statistics.hedges <= 500 / 10 + 10);
    CHECK(statistics.retries >= 30);
}

TEST_CASE("an answered request releases its handler")
{
    RequestWorld world(9);
    world.addRack("r1", 2, "n1");
    RequestNode &node = world.addNode("n1");
    const auto token = std::make_shared<int>(0);
    node.dispatch(previewRequest("x"), [token](const DispatchResult &) {});
    world.world.runFor(std::chrono::seconds(5));
    CHECK(token.use_count() == 1);
}

// Guards against a request that resets each endpoint that reads it and is sent on to all of them by retries, hedges and
// forwards between nodes.
TEST_CASE("a request that resets each endpoint is sent at most as often as its route allows, over all nodes")
{
    RequestWorld world(10);
    for (const char *name : {"n1", "n2", "n3"}) {
        const std::string rack = std::string("r") + name;
        world.addRack(rack, 4, name);
        world.addNode(name);
        for (int n = 0; n < 4; ++n) {
            world.endpoints.at(rack + "w" + std::to_string(n)).faults.reset = 1;
        }
    }
    world.pool().retryBudget = 50; // Only the route limits the attempts.
    world.route("order").maxAttempts = 10; // Not in force for a route that isn't idempotent.
    world.world.runFor(std::chrono::seconds(1));
    int mostRuns = 0;
    for (int n = 0; n < 20; ++n) {
        RequestNode &node = world.node(n % 2 == 0 ? "n1" : "n2");
        const std::string body = "x" + std::to_string(n);
        const std::optional<DispatchResult> got = ask(world, node, previewRequest(body));
        REQUIRE(got);
        CHECK_FALSE(got->ok);
        CHECK(got->outcome == RunOutcome::Unknown);
        const std::optional<DispatchResult> order = ask(world, node, orderRequest("o" + std::to_string(n), ""));
        REQUIRE(order);
        CHECK_FALSE(order->ok);
        world.world.runFor(std::chrono::seconds(2));
        CHECK(world.endpoints.runs(body) <= world.route("get").maxAttempts);
        CHECK(world.endpoints.runs("o" + std::to_string(n)) <= 1);
        mostRuns = std::max(mostRuns, world.endpoints.runs(body));
    }
    CHECK(mostRuns == world.route("get").maxAttempts);
}
