#include "endpointtable_pvt.h"

#include "fescueledge/endpointdirectory.h"
#include "fescueledge/invariant.h"

#include <algorithm>
#include <glog/logging.h>

namespace fescueledge {

namespace {

constexpr Milliseconds refreshInterval{10};
constexpr double maxEjectedShare = 0.5;
/// Slots of endpoints slower than the best one by more than this factor do not count as free.
constexpr double slowFactor = 3.0;
constexpr double defaultLatencyMs = 1.0;

int capacityOf(const Pool &pool)
{
    return std::min(pool.slots, pool.connections);
}

int freeSlots(const EndpointState &endpoint, const Pool &pool)
{
    return std::max(0, capacityOf(pool) - endpoint.entry.inheritedRequests - endpoint.inFlight());
}

} // namespace

EndpointTable::EndpointTable(const EndpointDirectory *directory)
    : m_directory(directory)
{
}

void EndpointTable::refresh(const std::string &pool, TimePoint now, bool force)
{
    PoolEndpoints &endpoints = m_pools[pool];
    if (!force && endpoints.isLoaded && now - endpoints.refreshedAt < refreshInterval) {
        return;
    }
    endpoints.isLoaded = true;
    endpoints.refreshedAt = now;
    for (EndpointState *it : endpoints.listed) {
        it->isListed = false;
    }
    std::vector<EndpointState *> listed;
    for (EndpointEntry &entry : m_directory->endpointsOf(pool)) {
        EndpointState &state = m_endpoints[entry.worker];
        state.entry = std::move(entry);
        state.isListed = true;
        listed.push_back(&state);
    }
    for (EndpointState *it : endpoints.listed) {
        if (!it->isListed && it->sentAt.empty()) {
            m_endpoints.erase(WorkerId(it->entry.worker));
        }
    }
    endpoints.listed = std::move(listed);
}

const std::vector<EndpointState *> &EndpointTable::endpointsOf(const std::string &pool)
{
    return m_pools[pool].listed;
}

EndpointState *EndpointTable::find(const WorkerId &worker)
{
    const auto it = m_endpoints.find(worker);
    return it == m_endpoints.end() ? nullptr : &it->second;
}

const char *EndpointTable::exclusionReason(const EndpointState &endpoint, const Pool &pool, bool idempotent,
                                           TimePoint now)
{
    if (!endpoint.entry.acceptsNewRequests) {
        return "takes no new requests";
    }
    if (freeSlots(endpoint, pool) == 0) {
        return "no free slot or connection";
    }
    const OutlierDetector::State state = endpoint.outlier.state(now);
    if (state == OutlierDetector::State::Ejected) {
        return "ejected";
    }
    if (state == OutlierDetector::State::Probing && (!idempotent || endpoint.inFlight() > 0)) {
        return "being probed";
    }
    return "";
}

EndpointCandidate EndpointTable::candidate(const EndpointState &endpoint, const Pool &pool, TimePoint now) const
{
    EndpointCandidate candidate;
    candidate.worker = endpoint.entry.worker;
    candidate.inFlight = endpoint.entry.inheritedRequests + endpoint.inFlight();
    candidate.slots = capacityOf(pool);
    candidate.failureShare = endpoint.outlier.failureShare(now);
    candidate.latencyMs = endpoint.latency.at(now, baseLatencyMs(endpoint.entry.pool));
    if (!endpoint.sentAt.empty()) {
        // A request in flight for long indicates a slow endpoint before its response arrives.
        const double ageMs = toMs(now - *endpoint.sentAt.begin());
        if (ageMs > 2 * candidate.latencyMs) {
            candidate.latencyMs = ageMs;
        }
    }
    return candidate;
}

double EndpointTable::baseLatencyMs(const std::string &pool) const
{
    const auto it = m_pools.find(pool);
    const double median = it == m_pools.end() ? 0 : it->second.latencyWindow.median();
    return median > 0 ? median : defaultLatencyMs;
}

PoolLoad EndpointTable::load(const Pool &pool, TimePoint now)
{
    refresh(pool.name, now);
    PoolLoad load;
    std::vector<std::pair<double, int>> usable;
    double best = 0;
    for (const EndpointState *it : endpointsOf(pool.name)) {
        if (!it->entry.acceptsNewRequests || it->outlier.state(now) != OutlierDetector::State::Healthy) {
            continue;
        }
        load.totalSlots += capacityOf(pool);
        const double latencyMs = candidate(*it, pool, now).latencyMs;
        best = best == 0 ? latencyMs : std::min(best, latencyMs);
        usable.emplace_back(latencyMs, freeSlots(*it, pool));
    }
    double weighted = 0;
    for (const std::pair<double, int> &it : usable) {
        if (it.first <= slowFactor * best) {
            load.freeSlots += it.second;
            weighted += it.first * it.second;
        }
    }
    load.latencyMs = load.freeSlots > 0 ? weighted / load.freeSlots : best;
    return load;
}

void EndpointTable::acquire(const WorkerId &worker, const Pool &pool, TimePoint now)
{
    EndpointState &state = m_endpoints.at(worker);
    state.sentAt.insert(now);
    const int used = state.entry.inheritedRequests + state.inFlight();
    assertInvariant(used <= pool.slots && used <= pool.connections, Invariant::WorkerCapacity, "worker=" + worker);
}

void EndpointTable::release(const WorkerId &worker, TimePoint sentAt)
{
    const auto it = m_endpoints.find(worker);
    if (it == m_endpoints.end()) {
        return;
    }
    const auto sent = it->second.sentAt.find(sentAt);
    if (sent != it->second.sentAt.end()) {
        it->second.sentAt.erase(sent);
    }
    if (!it->second.isListed && it->second.sentAt.empty()) {
        m_endpoints.erase(it);
    }
}

bool EndpointTable::addResult(const WorkerId &worker, bool success, TimePoint sentAt, TimePoint now)
{
    EndpointState *state = find(worker);
    if (state == nullptr) {
        return false;
    }
    if (success) {
        const double ms = toMs(now - sentAt);
        state->latency.add(ms, now);
        state->outlier.addSuccess(now);
        m_pools[state->entry.pool].latencyWindow.add(ms);
        return false;
    }
    if (!state->outlier.addFailure(now) || !ejectionEnabled || !mayEject(state->entry.pool, now)) {
        return false;
    }
    state->outlier.eject(now);
    LOG(WARNING) << "endpoint_ejected worker=" << worker;
    return true;
}

bool EndpointTable::mayEject(const std::string &pool, TimePoint now) const
{
    const auto it = m_pools.find(pool);
    if (it == m_pools.end()) {
        return false;
    }
    int ejected = 1;
    for (const EndpointState *state : it->second.listed) {
        ejected += state->outlier.state(now) == OutlierDetector::State::Ejected ? 1 : 0;
    }
    return ejected <= maxEjectedShare * static_cast<double>(it->second.listed.size());
}

int EndpointTable::inFlight(const WorkerId &worker) const
{
    const auto it = m_endpoints.find(worker);
    return it == m_endpoints.end() ? 0 : it->second.inFlight();
}

int EndpointTable::inFlightOfShard(const ShardId &shard) const
{
    int n = 0;
    for (const auto &it : m_endpoints) {
        n += it.second.entry.shard == shard ? it.second.inFlight() : 0;
    }
    return n;
}

int EndpointTable::ejectedCount(TimePoint now) const
{
    int n = 0;
    for (const auto &it : m_endpoints) {
        n += it.second.outlier.state(now) == OutlierDetector::State::Ejected ? 1 : 0;
    }
    return n;
}

LatencyWindow &EndpointTable::latencyWindow(const std::string &pool)
{
    return m_pools[pool].latencyWindow;
}

} // namespace fescueledge
