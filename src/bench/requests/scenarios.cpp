#include "scenarios.h"

namespace fescueledge {

namespace {

constexpr std::chrono::seconds waveInterval{2};
constexpr double noisyShare = 0.2;
constexpr double noisySlowdown = 8.0;
constexpr int failingWorkers = 3;
constexpr double peakFactor = 1.2;
constexpr double overloadFactor = 2.86;

void installCalm(Experiment &)
{
}

/// Slows down a new random share of the workers in each wave.
void noisyWave(Experiment *experiment)
{
    for (const WorkerId &it : experiment->workers()) {
        const bool isNoisy = experiment->random().chance(noisyShare);
        experiment->world().endpoints.at(it).faults.slowdown = isNoisy ? noisySlowdown : 1.0;
    }
    experiment->world().world.after(waveInterval, [experiment] {
        noisyWave(experiment);
    });
}

void installInterference(Experiment &experiment)
{
    noisyWave(&experiment);
}

void installFailing(Experiment &experiment)
{
    experiment.after(std::chrono::seconds(1), [&experiment] {
        for (int n = 0; n < failingWorkers; ++n) {
            const std::size_t it = experiment.random().below(experiment.workers().size());
            experiment.world().endpoints.at(experiment.workers()[it]).faults.failsAllRequests = true;
        }
    });
}

void installHighLoad(Experiment &experiment)
{
    experiment.loadFactor = 1.57;
}

/// Takes data centre 0 out of service at peak load; its nodes drain 2 s later and its endpoints stop 1 s after that.
void installLeaving(Experiment &experiment)
{
    experiment.loadFactor = peakFactor;
    experiment.after(std::chrono::seconds(2), [&experiment] {
        experiment.world().ownership.control->dataCentresOut.insert("dc0");
    });
    experiment.after(std::chrono::seconds(4), [&experiment] {
        for (const NodeId &it : experiment.nodesOf(0)) {
            experiment.drain(it);
        }
    });
    experiment.after(std::chrono::seconds(5), [&experiment] {
        for (const WorkerId &it : experiment.workersOf(0)) {
            experiment.world().endpoints.at(it).faults.refuse = 1;
        }
    });
}

/// Like installLeaving, at normal load and with interference on the workers.
void installLeavingNoisy(Experiment &experiment)
{
    installLeaving(experiment);
    experiment.loadFactor = 1.0;
    noisyWave(&experiment);
}

void installOverload(Experiment &experiment)
{
    experiment.loadFactor = overloadFactor;
}

} // namespace

const std::vector<Scenario> &scenarios()
{
    static const std::vector<Scenario> all{
        {"calm", "no fault, load 0.35", installCalm},
        {"interference", "each 2 s a new fifth of the workers is 8 times slower", installInterference},
        {"failing", "three workers answer 500 at once", installFailing},
        {"high load", "load 0.55; reports lag by up to 1 s", installHighLoad},
        {"leaving", "a data centre is taken out at load 0.42", installLeaving},
        {"leaving+noise", "a data centre is taken out at load 0.35 under interference", installLeavingNoisy},
        {"overload", "load 1.0, 1.3 times what loaded workers can do", installOverload},
    };
    return all;
}

} // namespace fescueledge
