#pragma once

#include <chrono>
#include <string>

namespace fescueledge {

/// Sizes of one of today's deployments, and the load that the experiments put on it.
struct Deployment
{
    std::string name;
    int dataCentres = 3;
    int workers = 50;
    int entryNodes = 6;
    std::chrono::microseconds hop{1000}; ///< One way between nodes and to endpoints.
    std::chrono::microseconds clientHop{1000}; ///< One way between callers and nodes.
    double serviceMs = 40; ///< Mean service time on an idle worker.
    double load = 0.35; ///< Share of the nominal capacity that callers ask for.
};

constexpr int workersPerRack = 8;
constexpr int endpointSlots = 8;
constexpr int endpointConnections = 64;

} // namespace fescueledge
