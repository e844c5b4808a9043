// Compares placement and interference control with the baselines.
// Usage: fescueledge-bench-placement [seeds [deployment [placement [interference]]]]

#include "placementexperiment_pvt.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <glog/logging.h>
#include <vector>

using namespace fescueledge;

namespace {

struct Candidate
{
    const char *placement;
    const char *interference;
};

const Candidate candidates[] = {
    {"measured", "throttle"}, {"measured", "none"},     {"least-loaded", "evict-at-once"},
    {"two-choices", "none"},  {"weight-carry", "none"}, {"least-loaded", "none"},
    {"first-fit", "none"},    {"random", "none"},       {"least-loaded", "throttle"},
};

const Deployment deployments[] = {
    {"Kilima", 3, 50, 32000, 125000, 1},
    {"Nadelwerk", 4, 65, 16000, 60000, 1},
};

/// Prints the median, minimum and maximum of one member of the results over the seeds.
template<typename Member>
void printColumn(const std::vector<PlacementResult> &results, Member member, const char *format)
{
    std::vector<double> values;
    values.reserve(results.size());
    for (const PlacementResult &result : results) {
        values.push_back(static_cast<double>(result.*member));
    }
    std::sort(values.begin(), values.end());
    std::printf(" | ");
    std::printf(format, values[values.size() / 2]);
    std::printf(" (");
    std::printf(format, values.front());
    std::printf("..");
    std::printf(format, values.back());
    std::printf(")");
}

void runCandidate(const Deployment &deployment, const Candidate &candidate, int seeds)
{
    std::vector<PlacementResult> results;
    for (int seed = 1; seed <= seeds; ++seed) {
        WorkerPolicy policy;
        policy.placement = candidate.placement;
        policy.interference = candidate.interference;
        results.push_back(runPlacementExperiment(deployment, policy, static_cast<std::uint64_t>(seed)));
    }
    std::printf("| %s, %s", candidate.placement, candidate.interference);
    printColumn(results, &PlacementResult::p99Ms, "%.0f");
    printColumn(results, &PlacementResult::p999Ms, "%.0f");
    printColumn(results, &PlacementResult::failedShare, "%.5f");
    printColumn(results, &PlacementResult::finished, "%.0f");
    printColumn(results, &PlacementResult::evictions, "%.0f");
    printColumn(results, &PlacementResult::lostSeconds, "%.0f");
    printColumn(results, &PlacementResult::workDuringChange, "%.0f");
    std::printf(" |\n");
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_minloglevel = google::GLOG_FATAL;
    const int seeds = argc > 1 ? std::max(1, std::atoi(argv[1])) : 5;
    for (const Deployment &deployment : deployments) {
        if (argc > 2 && deployment.name != argv[2]) {
            continue;
        }
        std::printf("\n%s, seeds 1 to %d, median (smallest..largest)\n\n", deployment.name.c_str(), seeds);
        std::printf("| placement, interference control | p99 ms | p99.9 ms | failed share | batch finished "
                    "| evictions | lost and redone s | work during change s |\n");
        std::printf("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
        for (const Candidate &candidate : candidates) {
            const bool skipped = (argc > 3 && std::strcmp(argv[3], candidate.placement) != 0)
                || (argc > 4 && std::strcmp(argv[4], candidate.interference) != 0);
            if (skipped) {
                continue;
            }
            runCandidate(deployment, candidate, seeds);
        }
    }
    return 0;
}
