// Runs long randomised fault tests in virtual time. Each seed gives one run of membership, ownership and configuration,
// and one run of the job queue. Prints each violation with its seed, and the totals.
#include "clusterfixture_pvt.h"
#include "faultdriver_pvt.h"
#include "queuechaos_pvt.h"

#include <cstdint>
#include <cstdio>
#include <getopt.h>
#include <glog/logging.h>
#include <map>
#include <string>

using namespace fescueledge;

namespace {

constexpr std::chrono::minutes clusterSpan{3};
constexpr std::chrono::seconds settleTimeout{20};

/// Totals over all runs.
struct SoakTotals
{
    int runs = 0;
    int violations = 0;
    std::map<std::string, int> faults;
    int jobs = 0;
};

void report(SoakTotals *totals, std::uint64_t seed, const char *part, const std::string &violation)
{
    ++totals->violations;
    std::printf("violation seed=%llu part=%s %s\n", static_cast<unsigned long long>(seed), part, violation.c_str());
}

void runCluster(SoakTotals *totals, std::uint64_t seed)
{
    ClusterFixture cluster(seed);
    FaultDriver faults(&cluster, seed);
    faults.run(clusterSpan);
    if (!cluster.runUntil(
            [&cluster] {
                return cluster.allOwned();
            },
            settleTimeout)) {
        report(totals, seed, "membership", "a shard has no acting owner 20 s after the faults");
    }
    for (const std::string &violation : cluster.violations) {
        report(totals, seed, "membership", violation);
    }
    for (const auto &[kind, n] : faults.counts) {
        totals->faults[kind] += n;
    }
}

void runQueue(SoakTotals *totals, std::uint64_t seed)
{
    QueueChaos::Options options;
    options.cancellations = 0.2;
    QueueChaos chaos(seed, options);
    if (!chaos.run()) {
        report(totals, seed, "queue", "an accepted job did not end");
    }
    for (const std::string &violation : chaos.findViolations()) {
        report(totals, seed, "queue", violation);
    }
    totals->jobs += options.jobs;
}

/// Parses the options; prints the usage and exits with 2 on an unknown one.
void readArguments(int argc, char **argv, std::uint64_t *seed, std::chrono::minutes *span)
{
    const option options[] = {{"seed", required_argument, nullptr, 's'},
                              {"minutes", required_argument, nullptr, 'm'},
                              {nullptr, 0, nullptr, 0}};
    int which = 0;
    while ((which = getopt_long(argc, argv, "", options, nullptr)) != -1) {
        if (which == 's') {
            *seed = std::strtoull(optarg, nullptr, 10);
        } else if (which == 'm') {
            *span = std::chrono::minutes(std::atoi(optarg));
        } else {
            std::fprintf(stderr, "usage: fescueledge-soak [--seed N] [--minutes M]\n");
            std::exit(2);
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::GLOG_ERROR;
    std::uint64_t seed = 1;
    std::chrono::minutes span{1};
    readArguments(argc, argv, &seed, &span);
    const TimePoint end = Clock::now() + span;
    SoakTotals totals;
    for (; Clock::now() < end; ++seed) {
        runCluster(&totals, seed);
        runQueue(&totals, seed);
        ++totals.runs;
    }
    std::printf("runs=%d jobs=%d violations=%d last_seed=%llu\n", totals.runs, totals.jobs, totals.violations,
                static_cast<unsigned long long>(seed - 1));
    for (const auto &[kind, n] : totals.faults) {
        std::printf("fault kind=%s count=%d\n", kind.c_str(), n);
    }
    return totals.violations == 0 ? 0 : 1;
}
