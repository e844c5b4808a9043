#pragma once

#include "fescueledge/workerpolicy.h"

#include <cstdint>
#include <string>

namespace fescueledge {

/// One of today's deployments.
struct Deployment
{
    std::string name;
    int dataCentres = 3;
    int workers = 50;
    std::int64_t milliCores = 32000;
    std::int64_t memoryMb = 125000;
    int latencyMs = 1; ///< One way.
};

/// What one policy gave on one seed.
struct PlacementResult
{
    double p99Ms = 0; ///< Of all requests to the services.
    double p999Ms = 0;
    double failedShare = 0; ///< Requests slower than their deadline.
    int finished = 0; ///< Batch tasks.
    int evictions = 0;
    double lostSeconds = 0; ///< Progress that was lost and had to be done again.
    double workDone = 0; ///< Useful seconds of progress.
    double workDuringChange = 0; ///< The same while a data centre was out.
};

/// Runs half an hour of virtual time: tasks of wrong sizes arrive in noisy waves beside services whose load shifts,
/// two workers fail everything, and a data centre is out for five minutes at the peak.
PlacementResult runPlacementExperiment(const Deployment &deployment, const WorkerPolicy &policy, std::uint64_t seed);

} // namespace fescueledge
