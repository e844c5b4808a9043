#include "fakerackowner_pvt.h"
#include "queueworld_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace std::chrono_literals;

namespace {

/// Time within which an urgent task must start.
constexpr Milliseconds urgentTarget{1800};

} // namespace

TEST_CASE("an urgent task starts in time while 19,000 batch tasks run and wait")
{
    QueueWorld fleet(21, 3, 4, 4, Resources{32000, 125000, 0});
    fleet.workers.taskDuration = 60s;
    fleet.workers.checkClaims = false;
    for (int i = 0; i < 3; ++i) {
        fleet.node(i).rack->maxStartsPerSecond = 200;
    }
    for (int i = 0; i < 190; ++i) {
        fleet.submit(i % 3, fleet.spec("t" + std::to_string(i % 20), "b" + std::to_string(i), 100, 1000));
    }
    fleet.world.runFor(8s);
    REQUIRE(fleet.accepted().size() == 190);
    REQUIRE(fleet.workers.starts == 16 * 32);
    for (int i = 0; i < 20; ++i) {
        JobSpec spec = fleet.spec("u" + std::to_string(i % 4), "u" + std::to_string(i), 1, 1000);
        spec.taskClass = TaskClass::LatencyCritical;
        fleet.submit(i % 3, spec);
        fleet.world.runFor(100ms);
    }
    const TimePoint lastSubmitted = fleet.world.now();
    fleet.world.runFor(urgentTarget);
    for (int i = 0; i < 20; ++i) {
        const JobId job = fleet.accepted().at("u" + std::to_string(i));
        const auto it = fleet.workers.firstStart.find(job + "/0");
        INFO("urgent job " << i);
        REQUIRE(it != fleet.workers.firstStart.end());
        CHECK(it->second <= lastSubmitted - 100ms * (20 - i) + urgentTarget);
    }
}
