#pragma once

#include "deployment.h"
#include "policies.h"

#include "fescueledge/testing/requestworld.h"

#include <memory>
#include <vector>

namespace fescueledge {

/// What one run measured.
struct Figures
{
    double p50Ms = 0; ///< Of answered requests, from the caller and back.
    double p99Ms = 0;
    double p999Ms = 0;
    double failedShare = 0; ///< Failures and 5xx answers, of all requests.
    double urgentFailedShare = 0; ///< The same of urgent requests only.
    double sendsPerRequest = 0;
};

/// One policy in one deployment under an open load in virtual time. One seed gives one run.
class Experiment
{
public:
    Experiment(const Deployment &deployment, const BenchPolicy &policy, std::uint64_t seed);

    /// Runs the load for @p span and waits for the last answers. Requests of the first second are not measured.
    Figures run(Duration span);

    /// Runs @p action @p delay after the load has begun.
    void after(Duration delay, const std::function<void()> &action);
    RequestWorld &world();
    Random &random();
    /// Names of the nodes in data centre @p n, and of its workers.
    std::vector<NodeId> nodesOf(int n) const;
    std::vector<WorkerId> workersOf(int n) const;
    const std::vector<WorkerId> &workers() const;
    /// Callers don't ask @p node any more; it drains.
    void drain(const NodeId &node);

    double loadFactor = 1.0; ///< Factor on the deployment's load.

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
    std::vector<NodeId> m_entries; ///< Nodes that callers ask.
    TimePoint m_measureFrom;
    TimePoint m_end;
    std::vector<double> m_latencies;
    std::uint64_t m_measured = 0;
    std::uint64_t m_failed = 0;
    std::uint64_t m_urgent = 0;
    std::uint64_t m_urgentFailed = 0;
};

} // namespace fescueledge
