#pragma once

#include <chrono>
#include <string>

namespace fescueledge {

/// Sizes of one of the current deployments, and the load of the experiments.
struct Deployment
{
    std::string name;
    int dataCentres = 3;
    int workers = 50;
    int entryNodes = 6;
    std::chrono::microseconds hop{1000}; ///< One-way latency between nodes and to endpoints.
    std::chrono::microseconds clientHop{1000}; ///< One-way latency between callers and nodes.
    double serviceMs = 40; ///< Mean service time on an idle worker.
    double load = 0.35; ///< Offered load as a share of the nominal capacity.
};

constexpr int workersPerRack = 8;
constexpr int endpointSlots = 8;
constexpr int endpointConnections = 64;

} // namespace fescueledge
