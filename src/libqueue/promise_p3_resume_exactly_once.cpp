#include "queuechaos_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;

namespace {

const std::vector<std::string> noViolations;

} // namespace

// P3: evicted work resumes exactly once. The workers record the checkpoint that each attempt saved; the next
// attempt must start from it, and no attempt number may start twice.
TEST_CASE("evicted work resumes exactly once from what it saved")
{
    QueueChaos::Options options;
    options.evictions = 0.9;
    options.staleReports = 0.9;
    options.workerLosses = 0.05;
    for (const std::uint64_t seed : {301, 302, 303, 304, 305, 306, 307, 308}) {
        QueueChaos chaos(seed, options);
        INFO("seed " << seed);
        CHECK(chaos.run());
        CHECK(chaos.findViolations() == noViolations);
        CHECK(chaos.fleet.workers.resumes > 50);
    }
}
