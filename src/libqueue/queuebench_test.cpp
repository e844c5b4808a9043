#include "queueworld_pvt.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <ctime>
#include <malloc.h>

using namespace fescueledge;
using namespace std::chrono_literals;

TEST_CASE("cost of the queue at three rates", "[.bench]")
{
    for (const int racks : {9, 18, 36}) {
        QueueWorld fleet(31, 7, racks, 1, Resources{32000, 125000, 0});
        fleet.workers.taskDuration = 2s;
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

TEST_CASE("memory of waiting tasks, with their rows in the store's stand-in", "[.bench]")
{
    for (const int jobs : {1000, 2000, 4000}) {
        QueueWorld fleet(32, 1, 0, 0, Resources());
        fleet.world.runFor(1s);
        const std::size_t before = mallinfo2().uordblks;
        for (int i = 0; i < jobs; ++i) {
            fleet.submit(0, fleet.spec("t" + std::to_string(i % 230), "k" + std::to_string(i), 1, 1000));
        }
        fleet.world.runFor(20s);
        const std::size_t used = mallinfo2().uordblks - before;
        std::size_t rows = 0;
        for (const std::string prefix : {"job/", "jobkey/"}) {
            for (const Row &row : fleet.rows.scan(prefix).rows) {
                rows += row.key.size() + row.value.size();
            }
        }
        std::printf("one_task_jobs=%zu bytes_per_job=%.0f row_bytes_per_job=%.0f\n", fleet.counters().pendingTasks,
                    static_cast<double>(used) / jobs, static_cast<double>(rows) / jobs);
    }
}

TEST_CASE("shares of 230 teams of which one floods the queue", "[.bench]")
{
    for (const QueuePolicy::Order order : {QueuePolicy::Order::Fair, QueuePolicy::Order::Fifo}) {
        QueuePolicy policy;
        policy.order = order;
        QueueWorld fleet(33, 7, 7, 2, Resources{32000, 125000, 0}, policy);
        fleet.workers.taskDuration = 2s;
        fleet.workers.checkClaims = false;
        fleet.submit(0, fleet.spec("flood", "flood", 10000, 1000));
        fleet.world.runFor(2s);
        for (int i = 0; i < 229; ++i) {
            fleet.submit(i % 7, fleet.spec("t" + std::to_string(i), "k" + std::to_string(i), 4, 1000));
        }
        const TimePoint submitted = fleet.world.now();
        fleet.world.runFor(40s);
        int started = 0;
        Duration sum{0};
        Duration most{0};
        for (const auto &[key, job] : fleet.accepted()) {
            const auto it = fleet.workers.firstStart.find(job + "/0");
            if (key != "flood" && it != fleet.workers.firstStart.end()) {
                ++started;
                sum += it->second - submitted;
                most = std::max(most, it->second - submitted);
            }
        }
        std::printf("order=%s small_teams_started=%d of 229 mean_wait_s=%.2f longest_wait_s=%.2f starts=%llu\n",
                    order == QueuePolicy::Order::Fair ? "fair" : "fifo", started,
                    std::chrono::duration<double>(sum).count() / std::max(started, 1),
                    std::chrono::duration<double>(most).count(), static_cast<unsigned long long>(fleet.workers.starts));
    }
}
