// Load pattern: serving tasks at a peak of their load while the coordinator changes, and at a low after it.
#include "sharedfleet_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

// Guards against runs that stay slow forever because the new coordinator assumes that they are at full pace.
TEST_CASE("a run that an earlier coordinator slowed down is sped up again after a takeover")
{
    SharedFleet fleet(2, 2, 1);
    const JobId job = fleet.submitFillers(2, Milliseconds(4000));
    fleet.run(Milliseconds(300));
    REQUIRE(fleet.runsOf(job) == 2);
    fleet.servingLoad = 0.9; // Leaves no headroom for fillers.
    fleet.swing = 0;
    fleet.run(Milliseconds(2500));
    fleet.world->kill(fleet.world->coordinator());
    fleet.servingLoad = 0.2;
    fleet.run(std::chrono::seconds(12));
    CHECK(fleet.world->runUntil(
        [&fleet, &job] {
            return fleet.world->state(fleet.world->coordinator(), job) == "complete";
        },
        Milliseconds(500)));
}

// Guards against runs that stay slow forever because an order that takes effect late undoes a newer one unnoticed.
TEST_CASE("an order to slow a run down that takes effect late does not slow it forever")
{
    SharedFleet fleet(1, 2, 1);
    const JobId job = fleet.submitFillers(2, Milliseconds(10000));
    fleet.run(Milliseconds(300));
    REQUIRE(fleet.runsOf(job) == 2);
    fleet.servingLoad = 0.9; // Leaves no headroom for fillers.
    fleet.swing = 0;
    fleet.world->delayPaces(0, std::chrono::seconds(6));
    fleet.run(Milliseconds(2000));
    fleet.world->delayPaces(0, Duration::zero());
    fleet.servingLoad = 0.2;
    fleet.run(std::chrono::seconds(40));
    CHECK(fleet.world->state(0, job) == "complete");
}
