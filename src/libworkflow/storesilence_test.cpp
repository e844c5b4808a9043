// Load pattern: callers submit jobs while the store answers no call, or is slow, loses answers, or refuses some nodes.
#include "workflowworld_pvt.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

constexpr int nodeCount = 6;

CoordinatorSettings detectingSettings()
{
    CoordinatorSettings settings;
    settings.detectSilentStore = true;
    return settings;
}

/// Submits jobs at all nodes at a steady rate.
class Callers
{
public:
    Callers()
        : world(nodeCount, 1, detectingSettings())
    {
        Resources capacity;
        capacity.milliCores = 1000000;
        capacity.memoryMb = 1000000;
        world.workers.add("w0", "dc-a", "r0", capacity);
        world.run(std::chrono::seconds(2));
    }

    JobId submitAt(int node)
    {
        const std::string digits = std::to_string(100000 + m_submitted++);
        JobId id = "a000000000" + digits;
        const TimePoint sentAt = world.world.now();
        world.submitLater(node, id, workflowOf({simpleStep(1)}), [this, id, node, sentAt](const CallerAnswer &answer) {
            answers[id] = answer;
            took[id] = world.world.now() - sentAt;
            ++outcomes[{node, answer.outcome}];
        });
        return id;
    }

    /// Each node gets a job every 100 ms for @p span.
    void submitFor(Duration span, int first = 0, int end = nodeCount)
    {
        for (Duration left = span; left > Duration::zero(); left -= Milliseconds(100)) {
            for (int node = first; node < end; ++node) {
                submitAt(node);
            }
            world.run(Milliseconds(100));
        }
        world.run(std::chrono::seconds(2));
    }

    int count(CallerOutcome outcome, int first = 0, int end = nodeCount) const
    {
        int sum = 0;
        for (const auto &[key, n] : outcomes) {
            sum += key.second == outcome && key.first >= first && key.first < end ? n : 0;
        }
        return sum;
    }

    void forEachStore(const std::function<void(FakeTableService::Faults *)> &change)
    {
        for (int node = 0; node < nodeCount; ++node) {
            change(&world.storeFaults(node));
        }
    }

    void setDown(bool down)
    {
        forEachStore([down](FakeTableService::Faults *faults) {
            faults->down = down;
        });
    }

    WorkflowWorld world;
    std::map<JobId, CallerAnswer> answers;
    std::map<JobId, Duration> took;
    std::map<std::pair<int, CallerOutcome>, int> outcomes;

private:
    int m_submitted = 0;
};

} // namespace

// Guards against callers that wait for a write of a store that is known to be silent, one after the other.
TEST_CASE("silent store: once that is known, submissions are refused at once, and none of them is stored")
{
    Callers callers;
    callers.setDown(true);
    callers.world.run(std::chrono::seconds(2));
    CHECK(callers.world.countInLogs("store_silent") == nodeCount);
    callers.submitFor(std::chrono::seconds(5));
    CHECK(callers.count(CallerOutcome::Unavailable) == static_cast<int>(callers.answers.size()));
    for (const auto &[id, answer] : callers.answers) {
        CHECK(callers.took[id] == Duration::zero());
        CHECK(answer.retryAfter >= std::chrono::seconds(1));
    }
    callers.setDown(false);
    callers.world.run(std::chrono::seconds(2));
    for (const auto &[id, answer] : callers.answers) {
        CHECK(callers.world.rows.read({"job/a/" + id}).rows.empty());
        CHECK(callers.world.state(0, id).empty());
    }
}

// Guards against refusals after the store has come back, for the lack of callers that find out.
TEST_CASE("a store that was silent is used again with its first answer, without a caller that tries")
{
    Callers callers;
    callers.setDown(true);
    callers.submitFor(std::chrono::seconds(3));
    CHECK(callers.count(CallerOutcome::Unavailable) > 0);
    callers.setDown(false);
    callers.world.run(Milliseconds(250));
    callers.outcomes.clear();
    callers.submitFor(std::chrono::seconds(3));
    CHECK(callers.count(CallerOutcome::Ok) == 30 * nodeCount);
}

TEST_CASE("a store that is 90 times slower than usual leads to no refusals")
{
    Callers callers;
    callers.forEachStore([](FakeTableService::Faults *faults) {
        faults->latency = Milliseconds(360);
    });
    callers.submitFor(std::chrono::seconds(20));
    CHECK(callers.count(CallerOutcome::Unavailable) == 0);
    CHECK(callers.world.countInLogs("store_silent") == 0);
}

TEST_CASE("a store that loses a third of its answers leads to no refusals")
{
    Callers callers;
    callers.forEachStore([](FakeTableService::Faults *faults) {
        faults->loseAnswer = 0.33;
    });
    callers.submitFor(std::chrono::seconds(20));
    CHECK(callers.count(CallerOutcome::Unavailable) == 0);
    CHECK(callers.world.countInLogs("store_silent") == 0);
}

// Guards against a node that takes refused connections for a silence, and reports it to the others.
TEST_CASE("a store that refuses some nodes is used by the others, and by those as soon as it lets them")
{
    constexpr int refused = 3;
    Callers callers;
    for (int node = 0; node < refused; ++node) {
        callers.world.storeFaults(node).refuses = true;
    }
    callers.world.run(std::chrono::seconds(3));
    callers.submitFor(std::chrono::seconds(5));
    CHECK(callers.count(CallerOutcome::Unavailable, 0, refused) == 50 * refused);
    CHECK(callers.count(CallerOutcome::Ok, refused) == 50 * (nodeCount - refused));
    CHECK(callers.world.countInLogs("store_silent") == 0);
    for (int node = 0; node < refused; ++node) {
        callers.world.storeFaults(node).refuses = false;
    }
    callers.outcomes.clear();
    callers.submitFor(std::chrono::seconds(2));
    CHECK(callers.count(CallerOutcome::Ok) == 20 * nodeCount);
}

TEST_CASE("a store that is silent for a moment leads to no refusals")
{
    Callers callers;
    for (int i = 0; i < 5; ++i) {
        callers.setDown(true);
        for (int node = 0; node < nodeCount; ++node) {
            callers.submitAt(node);
        }
        callers.world.run(Milliseconds(400));
        callers.setDown(false);
        callers.submitFor(std::chrono::seconds(1));
    }
    CHECK(callers.count(CallerOutcome::Unavailable) == 0);
    CHECK(callers.world.countInLogs("store_silent") == 0);
}

// Guards against watches that are lost with their connections and taken for a silence.
TEST_CASE("silent watches lead to no refusals while other calls are answered")
{
    Callers callers;
    callers.forEachStore([](FakeTableService::Faults *faults) {
        faults->watchesSilent = true;
    });
    callers.world.run(std::chrono::seconds(6));
    callers.submitFor(std::chrono::seconds(10));
    CHECK(callers.count(CallerOutcome::Unavailable) == 0);
}

// Guards against a node that refuses what it could serve because of others, and against one that waits for as long as
// the first did to find out.
TEST_CASE("reports of others don't make a node refuse, but let it find out sooner")
{
    constexpr int last = nodeCount - 1;
    Callers callers;
    callers.setDown(true);
    callers.world.storeFaults(last).down = false;
    callers.world.run(std::chrono::seconds(5));
    CHECK(callers.world.countInLogs("store_silent") == last);
    callers.submitFor(std::chrono::seconds(3), last);
    CHECK(callers.count(CallerOutcome::Ok, last) == 30);
    callers.world.storeFaults(last).down = true;
    const bool found = callers.world.runUntil(
        [&callers] {
            return callers.world.log(last).count("store_silent") > 0;
        },
        Milliseconds(700));
    CHECK(found);
}

// Guards against reports that only the coordinator gets.
TEST_CASE("the coordinator passes reports on to a node that it answers")
{
    constexpr int silent = nodeCount - 2;
    Callers callers;
    for (int node = 0; node < silent; ++node) {
        callers.world.storeFaults(node).down = true;
    }
    callers.world.run(std::chrono::seconds(5));
    REQUIRE(callers.world.coordinator() >= silent);
    const int late = callers.world.coordinator() == silent ? silent + 1 : silent;
    CHECK(callers.world.log(late).count("store_silent") == 0);
    callers.world.storeFaults(late).down = true;
    const bool found = callers.world.runUntil(
        [&callers, late] {
            return callers.world.log(late).count("store_silent") > 0;
        },
        Milliseconds(700));
    CHECK(found);
}

// Guards against refusals because of writes that were sent into the silence and have not ended.
TEST_CASE("writes that were sent into a silence hold up nothing once the store answers")
{
    Callers callers;
    const int node = (callers.world.coordinator() + 1) % nodeCount;
    callers.setDown(true);
    for (int i = 0; i < 5; ++i) {
        callers.submitAt(node);
    }
    REQUIRE(callers.world.runUntil(
        [&callers, node] {
            return callers.world.log(node).count("store_silent") > 0;
        },
        std::chrono::seconds(2)));
    callers.setDown(false);
    REQUIRE(callers.world.runUntil(
        [&callers, node] {
            return callers.world.log(node).count("store_answers") > 0;
        },
        std::chrono::seconds(1)));
    const JobId id = callers.submitAt(node);
    callers.world.run(std::chrono::seconds(2));
    CHECK(callers.answers.at(id).outcome == CallerOutcome::Ok);
}

// Guards against a lost watch of the configuration that nobody follows up: the other watches may wait for seconds.
TEST_CASE("a watch of the configuration that ends without an answer makes the node find out")
{
    Callers callers;
    callers.setDown(true);
    callers.world.reportCatalogContact(0, false);
    CHECK(callers.world.runUntil(
        [&callers] {
            return callers.world.log(0).count("store_silent") > 0;
        },
        Milliseconds(1100)));
    callers.world.reportCatalogContact(0, true);
    CHECK(callers.world.log(0).count("store_answers") == 1);
}

TEST_CASE("callers that are refused in a long outage are told to wait for longer")
{
    Callers callers;
    callers.setDown(true);
    callers.world.run(std::chrono::seconds(3));
    const JobId early = callers.submitAt(0);
    callers.world.run(std::chrono::seconds(8));
    const JobId late = callers.submitAt(0);
    callers.world.run(Milliseconds(10));
    CHECK(callers.answers.at(early).retryAfter == std::chrono::seconds(1));
    CHECK(callers.answers.at(late).retryAfter == std::chrono::seconds(2));
}

TEST_CASE("a node that alone gets no answers refuses submissions, and the others accept them")
{
    Callers callers;
    const int node = (callers.world.coordinator() + 1) % nodeCount;
    callers.world.storeFaults(node).down = true;
    callers.world.run(std::chrono::seconds(3));
    callers.submitFor(std::chrono::seconds(3));
    CHECK(callers.count(CallerOutcome::Unavailable, node, node + 1) == 30);
    CHECK(callers.count(CallerOutcome::Ok) == 30 * (nodeCount - 1));
}
