#include "queueworld_pvt.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <ctime>

using namespace fescueledge;
using namespace std::chrono_literals;

TEST_CASE("cost of the queue at three rates", "[.bench]")
{
    for (const int racks : {9, 18, 36}) {
        QueueWorld fleet(31, 7, racks, 1, Resources{32000, 125000, 0});
        fleet.workers.duration = 2s;
        fleet.workers.checkClaims = false;
        for (int i = 0; i < racks * 10; ++i) {
            fleet.submit(i % 7, fleet.spec("t" + std::to_string(i % 230), "k" + std::to_string(i), 64, 1000));
        }
        fleet.world.runFor(5s);
        const QueueCounters before = fleet.counters();
        const std::clock_t cpu = std::clock();
        fleet.world.runFor(10s);
        const double cpuSeconds = static_cast<double>(std::clock() - cpu) / CLOCKS_PER_SEC;
        const QueueCounters after = fleet.counters();
        const auto finishes = static_cast<double>(after.finishes - before.finishes);
        std::printf("slots=%d claims_per_s=%.0f finishes_per_s=%.0f transactions_per_s=%.1f rows_per_s=%.1f "
                    "cpu_us_per_task=%.0f refusal_share=%.3f\n",
                    racks * 32, static_cast<double>(after.claims - before.claims) / 10, finishes / 10,
                    static_cast<double>(after.transactions - before.transactions) / 10,
                    static_cast<double>(after.rowsWritten - before.rowsWritten) / 10, cpuSeconds * 1e6 / finishes,
                    static_cast<double>(after.refusals - before.refusals)
                        / static_cast<double>(after.offers - before.offers));
    }
}
