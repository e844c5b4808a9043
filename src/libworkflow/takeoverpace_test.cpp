// Load pattern: serving tasks at a peak of their load while the coordinator changes, and at a low after it.
#include "sharedfleet_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

// Guards against runs that stay slow for good: the new coordinator took them to be at full pace.
TEST_CASE("a run that an earlier coordinator slowed down is sped up again after a takeover")
{
    SharedFleet fleet(2, 2, 1);
    const JobId job = fleet.submitFillers(2, Milliseconds(4000));
    fleet.run(Milliseconds(300));
    REQUIRE(fleet.runsOf(job) == 2);
    fleet.servingLoad = 0.9; // Too much to bear any filler.
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
