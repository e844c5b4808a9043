#include "queuechaos_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;

namespace {

const std::vector<std::string> noViolations;

} // namespace

// Batch work finishes exactly once: every accepted job ends, each recorded finish happened on a worker, and no
// task starts after its finish was recorded. Cancellations race with the finishes.
TEST_CASE("each task finishes once or is cancelled, and no acknowledged job is lost")
{
    QueueChaos::Options options;
    options.cancellations = 0.4;
    options.staleReports = 0.9;
    options.failures = 0.15;
    options.workerLosses = 0.2;
    for (const std::uint64_t seed : {501, 502, 503, 504, 505, 506, 507, 508, 2000}) {
        QueueChaos chaos(seed, options);
        INFO("seed " << seed);
        CHECK(chaos.run());
        CHECK(chaos.findViolations() == noViolations);
        CHECK(!chaos.cancelled.empty());
    }
}
