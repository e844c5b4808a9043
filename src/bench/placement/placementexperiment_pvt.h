#pragma once

#include "fescueledge/workerpolicy.h"

#include <cstdint>
#include <string>

namespace fescueledge {

/// Sizes of one of the current deployments.
struct Deployment
{
    std::string name;
    int dataCentres = 3;
    int workers = 50;
    std::int64_t milliCores = 32000;
    std::int64_t memoryMb = 125000;
    int latencyMs = 1; ///< One-way network latency.
};

/// Results of one policy for one seed.
struct PlacementResult
{
    double p99Ms = 0; ///< Over all requests to the services.
    double p999Ms = 0;
    double failedShare = 0; ///< Share of requests that took longer than their deadline.
    int finished = 0; ///< Number of finished batch tasks.
    int evictions = 0;
    double lostSeconds = 0; ///< Progress that was lost and had to be repeated.
    double workDone = 0; ///< Useful seconds of progress.
    double workDuringChange = 0; ///< Useful seconds of progress during the outage of a data centre.
};

/// Simulates half an hour of virtual time. Tasks that declare wrong resources arrive in waves of high interference, the
/// load of the services varies, two workers fail every task, and a data centre is out for five minutes at peak load.
PlacementResult runPlacementExperiment(const Deployment &deployment, const WorkerPolicy &policy, std::uint64_t seed);

} // namespace fescueledge
