#include "fescueledge/testing/requestworld.h"

#include <catch2/catch.hpp>

using namespace fescueledge;

namespace {

/// Results of one simulation in which a keyed request is sent through several nodes.
struct KeyedRun
{
    int runs = 0;
    int answered = 0;
    int unknown = 0;
    bool reachedStep = false;
};

std::unique_ptr<RequestWorld> makeWorld(std::uint64_t seed)
{
    auto world = std::make_unique<RequestWorld>(seed);
    world->addRack("r1", 2, "n1");
    world->addRack("r2", 2, "n2");
    for (const char *name : {"n1", "n2", "n3"}) {
        world->addNode(name);
    }
    world->world.runFor(Milliseconds(300));
    return world;
}

/// Checks that the answers to callers agree with the requests that the endpoints ran.
KeyedRun checkHistory(const RequestWorld &world, const RequestHistory &history, const std::string &body)
{
    KeyedRun run;
    run.runs = world.endpoints.runs(body);
    REQUIRE(run.runs <= 1);
    for (const auto &it : history.entries()) {
        REQUIRE(it->answers <= 1);
        if (it->answers == 0) {
            continue;
        }
        if (it->result.ok) {
            ++run.answered;
            REQUIRE(run.runs == 1);
            REQUIRE(it->result.response.body == FakeEndpoints::answerTo(body));
        } else if (it->result.outcome == RunOutcome::NotRun) {
            REQUIRE(world.endpoints.runsOfRequest(it->request.id) == 0);
        } else {
            ++run.unknown;
        }
    }
    return run;
}

/// Sends a request through @p origin, kills @p victim after @p step events, then sends it again through the other nodes
/// and the restarted one.
KeyedRun killAtStep(std::uint64_t seed, int step, const NodeId &origin, const NodeId &victim, double lostAnswers)
{
    const std::unique_ptr<RequestWorld> world = makeWorld(seed);
    for (const char *name : {"n1", "n2", "n3"}) {
        world->node(name).table.faults.loseAnswer = lostAnswers;
        world->node(name).table.faults.loseRequest = lostAnswers / 2;
    }
    RequestHistory history;
    const ServiceRequest request = orderRequest("restock", "key");
    const RequestHistory::Entry &first = history.ask(world->node(origin), request);
    int steps = 0;
    world->world.runUntil(
        [&] {
            return first.answers > 0 || steps++ == step;
        },
        std::chrono::seconds(5));
    const bool reachedStep = first.answers == 0;
    world->kill(victim);
    for (const char *name : {"n1", "n2", "n3"}) {
        if (name != victim) {
            history.ask(world->node(name), request);
        }
    }
    world->world.runFor(std::chrono::seconds(1));
    world->restart(victim);
    for (int n = 0; n < 2; ++n) {
        for (const char *name : {"n1", "n2", "n3"}) {
            history.ask(world->node(name), request);
        }
        world->world.runFor(std::chrono::seconds(3));
    }
    KeyedRun run = checkHistory(*world, history, "restock");
    run.reachedStep = reachedStep;
    return run;
}

} // namespace

/// P7: a non-idempotent request runs at most once, even if a node is killed at any event step.
TEST_CASE("a keyed request runs at most once when a node is killed at any event step")
{
    int kills = 0;
    int unknown = 0;
    for (const double lostAnswers : {0.0, 0.4}) {
        for (const NodeId origin : {"n1", "n3"}) {
            for (const NodeId victim : {"n1", "n2", "n3"}) {
                int finishedBefore = 0; // Consecutive simulations with the answer before the kill.
                for (int step = 0; step < 400 && finishedBefore < 8; ++step) {
                    INFO("origin " << origin << " victim " << victim << " step " << step << " lost " << lostAnswers);
                    const KeyedRun run = killAtStep(7 + step % 5, step, origin, victim, lostAnswers);
                    kills += run.reachedStep ? 1 : 0;
                    unknown += run.unknown;
                    finishedBefore = run.reachedStep ? 0 : finishedBefore + 1;
                }
            }
        }
    }
    CHECK(kills > 500);
    CHECK(unknown > 100);
}

TEST_CASE("requests with one key through several nodes run once and get one answer under faults")
{
    int answered = 0;
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        INFO("seed " << seed);
        const std::unique_ptr<RequestWorld> world = makeWorld(seed);
        Random random(seed);
        world->network.loss = random.chance(0.5) ? 0.1 : 0;
        for (const char *name : {"n1", "n2", "n3"}) {
            world->node(name).table.faults.loseAnswer = random.chance(0.5) ? 0.3 : 0;
            world->node(name).table.faults.loseRequest = random.chance(0.5) ? 0.3 : 0;
            world->node(name).transport.twice = 0.3;
        }
        for (const EndpointEntry &it : world->ownership.endpoints) {
            world->endpoints.at(it.address).faults.refuse = random.chance(0.3) ? 1 : 0;
            world->endpoints.at(it.address).faults.reset = random.chance(0.3) ? 0.5 : 0;
        }
        RequestHistory history;
        for (int n = 0; n < 12; ++n) {
            history.ask(world->node("n" + std::to_string(random.below(3) + 1)), orderRequest("restock", "key"));
            world->world.runFor(Milliseconds(random.below(random.chance(0.2) ? 3000 : 10)));
            if (random.chance(0.1)) {
                RequestNode &node = world->node("n" + std::to_string(random.below(3) + 1));
                node.loop.pause();
                world->world.after(std::chrono::seconds(random.below(6)), [&node] {
                    node.loop.resume();
                });
            }
        }
        world->world.runFor(std::chrono::seconds(40));
        answered += checkHistory(*world, history, "restock").answered;
    }
    CHECK(answered > 300);
}

TEST_CASE("a key that was used for another request is refused as not run")
{
    const std::unique_ptr<RequestWorld> world = makeWorld(1);
    RequestHistory history;
    history.ask(world->node("n1"), orderRequest("a", "key"));
    world->world.runFor(std::chrono::seconds(1));
    const RequestHistory::Entry &other = history.ask(world->node("n2"), orderRequest("b", "key"));
    const RequestHistory::Entry &copy = history.ask(world->node("n3"), orderRequest("a", "key"));
    world->world.runFor(std::chrono::seconds(1));
    CHECK(other.result.error == ErrorKind::KeyReused);
    CHECK(other.result.outcome == RunOutcome::NotRun);
    CHECK(copy.result.ok);
    CHECK(copy.result.replayed);
    CHECK(world->endpoints.runs("b") == 0);
}

TEST_CASE("a keyed request is not sent while the store is down, and runs once the store is back")
{
    const std::unique_ptr<RequestWorld> world = makeWorld(2);
    RequestNode &node = world->node("n1");
    node.table.faults.down = true;
    RequestHistory history;
    const RequestHistory::Entry &first = history.ask(node, orderRequest("a", "key"));
    world->world.runFor(std::chrono::seconds(2));
    CHECK(first.result.error == ErrorKind::StoreUnavailable);
    CHECK(first.result.outcome == RunOutcome::NotRun);
    node.table.faults.down = false;
    const RequestHistory::Entry &second = history.ask(node, orderRequest("a", "key"));
    world->world.runFor(std::chrono::seconds(2));
    CHECK(second.result.ok);
    CHECK(world->endpoints.runs("a") == 1);
}

TEST_CASE("a keyed request that certainly did not run may be retried with the same key")
{
    const std::unique_ptr<RequestWorld> world = makeWorld(3);
    for (const EndpointEntry &it : world->ownership.endpoints) {
        world->endpoints.at(it.address).faults.refuse = 1;
    }
    RequestHistory history;
    const RequestHistory::Entry &first = history.ask(world->node("n1"), orderRequest("a", "key"));
    world->world.runFor(std::chrono::seconds(2));
    CHECK(first.result.outcome == RunOutcome::NotRun);
    for (const EndpointEntry &it : world->ownership.endpoints) {
        world->endpoints.at(it.address).faults.refuse = 0;
    }
    const RequestHistory::Entry &second = history.ask(world->node("n2"), orderRequest("a", "key"));
    world->world.runFor(std::chrono::seconds(2));
    CHECK(second.result.ok);
    CHECK(world->endpoints.runs("a") == 1);
}
