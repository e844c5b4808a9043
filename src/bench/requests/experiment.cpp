#include "experiment.h"

#include <algorithm>
#include <cmath>

namespace fescueledge {

namespace {

constexpr std::chrono::seconds reportInterval{1};
constexpr std::chrono::seconds warmUpDelay{1};
constexpr std::chrono::seconds settleDelay{3};
constexpr double orderShare = 0.2;
constexpr double urgentShare = 0.2;
/// Relative slowdown of an endpoint whose slots are all busy.
constexpr double contention = 0.3;
constexpr int serverErrorStatus = 500;

double quantile(std::vector<double> &samples, double q)
{
    if (samples.empty()) {
        return 0;
    }
    const std::size_t n = std::min(samples.size() - 1, static_cast<std::size_t>(q * samples.size()));
    std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(n), samples.end());
    return samples[n];
}

std::string dataCentreName(int n)
{
    return "dc" + std::to_string(n);
}

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

Experiment::Experiment(const Deployment &deployment, const BenchPolicy &policy, std::uint64_t seed)
    : m_deployment(deployment)
    , m_random(seed)
    , m_world(seed)
{
    build(policy);
    report();
}

void Experiment::build(const BenchPolicy &policy)
{
    const int racks = (m_deployment.workers + workersPerRack - 1) / workersPerRack;
    for (int rack = 0; rack < racks; ++rack) {
        const int n = std::min(workersPerRack, m_deployment.workers - rack * workersPerRack);
        const int dataCentre = rack % m_deployment.dataCentres;
        const std::vector<NodeId> near = nodesOf(dataCentre);
        const NodeId &owner = near[static_cast<std::size_t>(rack / m_deployment.dataCentres) % near.size()];
        m_world.addRack("r" + std::to_string(rack), n, policy.hasOwners ? owner : "", dataCentreName(dataCentre));
    }
    m_world.network.latency = m_deployment.hop;
    m_world.endpoints.latency = m_deployment.hop;
    m_world.endpoints.serviceTime = [](const FakeEndpoints::Endpoint &endpoint, Random &random) {
        const double busy = static_cast<double>(endpoint.serving) / endpointSlots;
        const double tail = 0.5 - 0.5 * std::log(1 - random.unit());
        return endpoint.serviceMs * endpoint.faults.slowdown * (1 + contention * busy) * tail;
    };
    Pool &pool = m_world.pool();
    pool.slots = policy.hasOwners ? endpointSlots : endpointConnections;
    pool.connections = endpointConnections;
    for (const EndpointEntry &it : m_world.ownership.endpoints) {
        m_workers.push_back(it.worker);
        m_world.endpoints.at(it.worker).serviceMs = m_deployment.serviceMs;
    }
    for (int n = 0; n < m_deployment.entryNodes; ++n) {
        m_nodes.push_back("n" + std::to_string(n));
        RequestNode &node = m_world.addNode(m_nodes.back(), policy.make(&m_report));
        node.dispatcher.setDataCentre(dataCentreName(n % m_deployment.dataCentres));
    }
    m_entries = m_nodes;
}

void Experiment::report()
{
    for (const WorkerId &it : m_workers) {
        m_report[it] = m_world.endpoints.at(it).open;
    }
    m_world.world.after(reportInterval, [this] {
        report();
    });
}

std::vector<NodeId> Experiment::nodesOf(int n) const
{
    std::vector<NodeId> nodes;
    for (int it = n; it < m_deployment.entryNodes; it += m_deployment.dataCentres) {
        nodes.push_back("n" + std::to_string(it));
    }
    return nodes;
}

std::vector<WorkerId> Experiment::workersOf(int n) const
{
    std::vector<WorkerId> workers;
    for (const EndpointEntry &it : m_world.ownership.endpoints) {
        if (it.dataCentre == dataCentreName(n)) {
            workers.push_back(it.worker);
        }
    }
    return workers;
}

const std::vector<WorkerId> &Experiment::workers() const
{
    return m_workers;
}

RequestWorld &Experiment::world()
{
    return m_world;
}

Random &Experiment::random()
{
    return m_random;
}

void Experiment::after(Duration delay, const std::function<void()> &action)
{
    m_world.world.after(delay + warmUpDelay, action);
}

void Experiment::drain(const NodeId &node)
{
    m_entries.erase(std::remove(m_entries.begin(), m_entries.end(), node), m_entries.end());
    m_world.node(node).dispatcher.drain([] {});
}

void Experiment::arrive()
{
    if (m_world.world.now() >= m_end) {
        return;
    }
    const double perSecond =
        loadFactor * m_deployment.load * m_deployment.workers * endpointSlots * 1000.0 / m_deployment.serviceMs;
    const double gapMs = -std::log(1 - m_random.unit()) * 1000.0 / perSecond;
    m_world.world.after(std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(gapMs)), [this] {
        arrive();
    });
    const bool isUrgent = m_random.chance(urgentShare);
    ServiceRequest request = m_random.chance(orderShare) ? orderRequest("o", "") : previewRequest("p");
    request.headers["priority"] = isUrgent ? "u=1" : "u=4";
    const TimePoint started = m_world.world.now();
    const bool isMeasured = started >= m_measureFrom;
    RequestNode &node = m_world.node(m_entries[m_random.below(m_entries.size())]);
    node.dispatch(request, [this, started, isMeasured, isUrgent](const DispatchResult &result) {
        if (!isMeasured) {
            return;
        }
        const bool failed = !result.ok || result.response.status >= serverErrorStatus;
        ++m_measured;
        m_failed += failed ? 1 : 0;
        m_urgent += isUrgent ? 1 : 0;
        m_urgentFailed += failed && isUrgent ? 1 : 0;
        if (!failed) {
            const Duration span = m_world.world.now() - started + 2 * m_deployment.clientHop;
            m_latencies.push_back(std::chrono::duration<double, std::milli>(span).count());
        }
    });
}

Figures Experiment::run(Duration span)
{
    m_measureFrom = m_world.world.now() + warmUpDelay;
    m_end = m_measureFrom + span;
    arrive();
    m_world.world.runFor(warmUpDelay + span + settleDelay);
    Figures figures;
    figures.p50Ms = quantile(m_latencies, 0.5);
    figures.p99Ms = quantile(m_latencies, 0.99);
    figures.p999Ms = quantile(m_latencies, 0.999);
    figures.failedShare = share(m_failed, m_measured);
    figures.urgentFailedShare = share(m_urgentFailed, m_urgent);
    RequestStatistics sum;
    for (const NodeId &it : m_nodes) {
        const RequestStatistics statistics = m_world.node(it).dispatcher.statistics();
        sum.sends += statistics.sends;
        sum.requests += statistics.requests;
    }
    figures.sendsPerRequest = share(sum.sends, sum.requests);
    return figures;
}

} // namespace fescueledge
