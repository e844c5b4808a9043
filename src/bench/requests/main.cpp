#include "scenarios.h"

#include <algorithm>
#include <cstdio>
#include <getopt.h>
#include <glog/logging.h>
#include <memory>

using namespace fescueledge;

namespace {

struct Options
{
    std::string deployment; ///< Empty means all.
    std::string scenario; ///< Empty means all.
    std::string policy; ///< Empty means all.
    std::uint64_t firstSeed = 1;
    std::uint64_t seeds = 5;
    double load = 0; ///< Share of the nominal capacity; 0 means the load of the deployment.
    std::chrono::seconds span{6};
};

std::vector<Deployment> deployments(double load)
{
    Deployment kilima;
    kilima.name = "kilima";
    Deployment nadelwerk;
    nadelwerk.name = "nadelwerk";
    nadelwerk.dataCentres = 4;
    nadelwerk.workers = 65;
    nadelwerk.entryNodes = 7;
    nadelwerk.hop = std::chrono::microseconds(500);
    if (load > 0) {
        kilima.load = load;
        nadelwerk.load = load;
    }
    return {kilima, nadelwerk};
}

using Measure = double Figures::*;

void printSpread(const std::vector<Figures> &runs, Measure measure, double factor, int digits)
{
    double sum = 0;
    double low = runs.front().*measure;
    double high = low;
    for (const Figures &it : runs) {
        sum += it.*measure;
        low = std::min(low, it.*measure);
        high = std::max(high, it.*measure);
    }
    const double mean = sum / static_cast<double>(runs.size());
    std::printf(" %.*f (%.*f-%.*f) |", digits, mean * factor, digits, low * factor, digits, high * factor);
}

void measure(const Deployment &deployment, const Scenario &scenario, const BenchPolicy &policy, const Options &options)
{
    std::vector<Figures> runs;
    for (std::uint64_t seed = options.firstSeed; seed < options.firstSeed + options.seeds; ++seed) {
        const auto experiment = std::make_unique<Experiment>(deployment, policy, seed);
        scenario.install(*experiment);
        runs.push_back(experiment->run(options.span));
    }
    std::printf("| %s |", policy.name.c_str());
    printSpread(runs, &Figures::p50Ms, 1, 1);
    printSpread(runs, &Figures::p99Ms, 1, 1);
    printSpread(runs, &Figures::p999Ms, 1, 1);
    printSpread(runs, &Figures::failedShare, 100, 3);
    printSpread(runs, &Figures::urgentFailedShare, 100, 3);
    printSpread(runs, &Figures::sendsPerRequest, 1, 3);
    std::printf("\n");
    std::fflush(stdout);
}

void measureAll(const Options &options)
{
    for (const Deployment &deployment : deployments(options.load)) {
        if (!options.deployment.empty() && options.deployment != deployment.name) {
            continue;
        }
        for (const Scenario &scenario : scenarios()) {
            if (!options.scenario.empty() && options.scenario != scenario.name) {
                continue;
            }
            std::printf("\n### %s, %s: %s\n\n", deployment.name.c_str(), scenario.name.c_str(),
                        scenario.description.c_str());
            std::printf("| policy | p50 ms | p99 ms | p99.9 ms | failed %% | urgent failed %% | sends per request |\n");
            std::printf("|---|---|---|---|---|---|---|\n");
            for (const BenchPolicy &policy : benchPolicies()) {
                if (options.policy.empty() || options.policy == policy.name) {
                    measure(deployment, scenario, policy, options);
                }
            }
        }
    }
}

bool parse(int argc, char **argv, Options &options)
{
    const option longOptions[] = {
        {"deployment", required_argument, nullptr, 'd'}, {"scenario", required_argument, nullptr, 's'},
        {"policy", required_argument, nullptr, 'p'},     {"seeds", required_argument, nullptr, 'n'},
        {"first-seed", required_argument, nullptr, 'f'}, {"load", required_argument, nullptr, 'l'},
        {"seconds", required_argument, nullptr, 't'},    {nullptr, 0, nullptr, 0}};
    int it = 0;
    while ((it = getopt_long(argc, argv, "", longOptions, nullptr)) != -1) {
        switch (it) {
        case 'd':
            options.deployment = optarg;
            break;
        case 's':
            options.scenario = optarg;
            break;
        case 'p':
            options.policy = optarg;
            break;
        case 'n':
            options.seeds = std::max<std::uint64_t>(1, std::strtoull(optarg, nullptr, 10));
            break;
        case 'f':
            options.firstSeed = std::strtoull(optarg, nullptr, 10);
            break;
        case 'l':
            options.load = std::strtod(optarg, nullptr);
            break;
        case 't':
            options.span = std::chrono::seconds(std::strtol(optarg, nullptr, 10));
            break;
        default:
            return false;
        }
    }
    return true;
}

} // namespace

int main(int argc, char **argv)
{
    Options options;
    if (!parse(argc, argv, options)) {
        std::fprintf(stderr,
                     "usage: fescueledge-bench-requests [--deployment NAME] [--scenario NAME] [--policy NAME] "
                     "[--first-seed N] [--seeds N] [--load SHARE] [--seconds N]\n");
        return 2;
    }
    google::InitGoogleLogging(argv[0]);
    FLAGS_minloglevel = google::GLOG_ERROR;
    measureAll(options);
    return 0;
}
