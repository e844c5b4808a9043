#include "queuechaos_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;

namespace {

const std::vector<std::string> noViolations;

} // namespace

// P2: no task runs in two places at once. The workers track what runs and check every start against the claim in
// the store.
TEST_CASE("no task runs in two places under faults of two kinds at once")
{
    for (const std::uint64_t seed : {101, 102, 103, 104, 105, 106, 107, 108, 109, 110}) {
        QueueChaos chaos(seed, QueueChaos::Options());
        INFO("seed " << seed);
        CHECK(chaos.run());
        CHECK(chaos.findViolations() == noViolations);
        CHECK(chaos.fleet.workers.starts > 100);
    }
}
