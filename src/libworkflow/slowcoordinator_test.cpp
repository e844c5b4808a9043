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
