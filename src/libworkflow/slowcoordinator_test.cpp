// A coordinator that answers, but slowly, as on a small node with much to do.
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

// Guards against takeovers without end: if each coordinator answers pings later than the suspicion timeout, each one is
// replaced before it has loaded the jobs, and nothing starts any more.
TEST_CASE("coordinators that answer slowly do not replace each other again and again")
{
    constexpr int nodes = 3;
    const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 2);
    world->network.latency = Milliseconds(400);
    world->run(std::chrono::seconds(20));
    const auto termsBegun = [&world] {
        std::size_t n = 0;
        for (int i = 0; i < nodes; ++i) {
            n += world->log(i).count("term_begun");
        }
        return n;
    };
    const std::size_t before = termsBegun();
    world->run(std::chrono::seconds(10));
    CHECK(termsBegun() - before <= 1);
}

namespace {

std::size_t termsBegun(WorkflowWorld &world, int nodes)
{
    std::size_t n = 0;
    for (int i = 0; i < nodes; ++i) {
        n += world.log(i).count("term_begun");
    }
    return n;
}

/// Makes each coordinator that begins a term answer nothing for @p busy, as one whose processor is full with loading.
class BusyLoading
{
public:
    BusyLoading(WorkflowWorld *world, int nodes, Duration busy)
        : m_world(world)
        , m_busy(busy)
    {
        for (int i = 0; i < nodes; ++i) {
            m_nodes.push_back(Node{world->log(i).count("term_begun"), TimePoint{}});
        }
    }

    void run(Duration span)
    {
        const TimePoint until = m_world->world.now() + span;
        while (m_world->world.now() < until) {
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                update(static_cast<int>(i), &m_nodes[i]);
            }
            m_world->run(Milliseconds(5));
        }
    }

private:
    struct Node
    {
        std::size_t terms = 0;
        TimePoint busyUntil{};
    };

    void update(int index, Node *node)
    {
        const TimePoint now = m_world->world.now();
        const std::size_t terms = m_world->log(index).count("term_begun");
        if (terms > node->terms) {
            node->terms = terms;
            node->busyUntil = now + m_busy;
            m_world->pause(index);
        } else if (node->busyUntil != TimePoint{} && now >= node->busyUntil) {
            node->busyUntil = TimePoint{};
            m_world->resume(index);
        }
    }

    WorkflowWorld *m_world;
    Duration m_busy;
    std::vector<Node> m_nodes;
};

} // namespace

// Guards against terms that follow each other for seconds with nothing started: each coordinator is busy loading, is
// replaced by one that is, and learns it too late to tell anyone that it had not failed.
TEST_CASE("coordinators that are busy loading do not replace each other again and again")
{
    constexpr int nodes = 12;
    const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 4);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(300), false);
    };
    world->run(std::chrono::seconds(8)); // The term is not a young one any more.
    const int killed = world->coordinator();
    world->submit(otherThan(killed, nodes), jobA, workflowOf({simpleStep(48)}));
    world->run(Milliseconds(200));
    const std::size_t before = termsBegun(*world, nodes);
    world->kill(killed);
    BusyLoading loading(world.get(), nodes, Milliseconds(1600));
    loading.run(std::chrono::seconds(8));
    CHECK(termsBegun(*world, nodes) - before <= 3);
    CHECK(world->state(otherThan(killed, nodes), jobA) == "complete");
    CHECK(world->workers.tasksRunTwice().empty());
}

// Guards against patience with coordinators that load, at the cost of those that are dead.
TEST_CASE("coordinators that die one after the other while they load are each replaced soon")
{
    constexpr int nodes = 8;
    const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 4);
    world->run(std::chrono::seconds(8));
    for (int death = 0; death < 4; ++death) {
        const int killed = world->coordinator();
        REQUIRE(killed >= 0);
        const std::size_t before = termsBegun(*world, nodes);
        world->kill(killed);
        CHECK(world->runUntil(
            [&] {
                return termsBegun(*world, nodes) > before;
            },
            Milliseconds(1700)));
        REQUIRE(world->runUntil(
            [&] {
                return world->coordinator() >= 0;
            },
            std::chrono::seconds(5)));
    }
}
