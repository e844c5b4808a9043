// Load pattern: serving tasks on all workers, and fillers that disturb them more than they can ever bear at full pace.
#include "sharedfleet_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

/// Users call a job lost that has nothing running for so long while there is room for it.
constexpr Milliseconds longestWait{3000};
/// Users call a serving task harmed that is over its target for so long on end by what works beside it.
constexpr Milliseconds longestHarm{4000};
/// Fillers take five times their share of a worker from the serving tasks there.
constexpr double heavyPressure = 5;

} // namespace

// Guards against accepted jobs that are never started: no worker counted as harmless for them, and no wait was too
// long.
TEST_CASE("fillers that disturb serving tasks everywhere are started within three seconds, and end")
{
    SharedFleet fleet(1, 6, heavyPressure);
    std::vector<JobId> jobs;
    for (int i = 0; i < 8; ++i) {
        jobs.push_back(fleet.submitFillers(2, Milliseconds(1700)));
        fleet.run(Milliseconds(500));
    }
    fleet.run(std::chrono::seconds(56));
    for (const JobId &job : jobs) {
        CHECK(fleet.longestIdle(job).count() < longestWait.count());
        CHECK(fleet.world->state(0, job) == "complete");
    }
    CHECK(fleet.longestOverTarget().count() < longestHarm.count());
}
