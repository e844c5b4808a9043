#pragma once

#include "deployment.h"
#include "policies.h"

#include "fescueledge/testing/requestworld.h"

#include <memory>
#include <vector>

namespace fescueledge {

/// Measurements of one run.
struct Figures
{
    double p50Ms = 0; ///< Round-trip time of successful requests, seen by the caller.
    double p99Ms = 0;
    double p999Ms = 0;
    double failedShare = 0; ///< Share of all requests that failed or got a 5xx response.
    double urgentFailedShare = 0; ///< Share of urgent requests that failed or got a 5xx response.
    double sendsPerRequest = 0;
};

/// Runs one policy in one deployment under an open load in virtual time. A run is determined by its seed.
class Experiment
{
public:
    Experiment(const Deployment &deployment, const BenchPolicy &policy, std::uint64_t seed);

    /// Runs the load for @p span and waits for the last responses. Requests of the first second are not measured.
    Figures run(Duration span);

    /// Runs @p action at @p delay after the start of the measurement.
    void after(Duration delay, const std::function<void()> &action);
    RequestWorld &world();
    Random &random();
    /// Names of the nodes and of the workers in data centre @p n.
    std::vector<NodeId> nodesOf(int n) const;
    std::vector<WorkerId> workersOf(int n) const;
    const std::vector<WorkerId> &workers() const;
    /// Stops sending requests to @p node and drains it.
    void drain(const NodeId &node);

    double loadFactor = 1.0; ///< Multiplies the load of the deployment.

private:
    void build(const BenchPolicy &policy);
    void arrive();
    void report();

    Deployment m_deployment;
    Random m_random;
    RequestWorld m_world;
    LoadReport m_report;
    std::vector<WorkerId> m_workers;
    std::vector<NodeId> m_nodes;
    std::vector<NodeId> m_entries; ///< Nodes that callers send requests to.
    TimePoint m_measureFrom;
    TimePoint m_end;
    std::vector<double> m_latencies;
    std::uint64_t m_measured = 0;
    std::uint64_t m_failed = 0;
    std::uint64_t m_urgent = 0;
    std::uint64_t m_urgentFailed = 0;
};

} // namespace fescueledge
