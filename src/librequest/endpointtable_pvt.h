#pragma once

#include "latencytracker_pvt.h"
#include "localattempt_pvt.h"
#include "outlierdetector_pvt.h"

#include "fescueledge/endpointchoice.h"
#include "fescueledge/endpointentry.h"
#include "fescueledge/pool.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace fescueledge {

class EndpointDirectory;

/// One endpoint and the requests that this node may have running on it.
struct EndpointState
{
    EndpointEntry entry;
    bool isListed = false; ///< The directory still lists it.
    std::multiset<TimePoint> sentAt; ///< Send time of each request that may still run on it.
    DecayingLatency latency;
    OutlierDetector outlier;

    int inFlight() const
    {
        return static_cast<int>(sentAt.size());
    }
};

/// The endpoints that this node owns, with exact counts of the slots and connections in use.
class EndpointTable
{
public:
    explicit EndpointTable(const EndpointDirectory *directory);

    /// Reloads the endpoints of @p pool from the directory unless they were loaded within the refresh interval;
    /// @p force reloads them in any case.
    void refresh(const std::string &pool, TimePoint now, bool force = false);
    /// Endpoints of @p pool as of the last refresh.
    const std::vector<EndpointState *> &endpointsOf(const std::string &pool);
    EndpointState *find(const WorkerId &worker);

    /// Why @p endpoint can't take a request now; empty if it can.
    static const char *exclusionReason(const EndpointState &endpoint, const Pool &pool, bool idempotent, TimePoint now);
    EndpointCandidate candidate(const EndpointState &endpoint, const Pool &pool, TimePoint now) const;
    PoolLoad load(const Pool &pool, TimePoint now);

    /// Reserves one slot and one connection. Throws InvariantViolation if none is free.
    void acquire(const WorkerId &worker, const Pool &pool, TimePoint now);
    /// Releases the slot and the connection that acquire() reserved at @p sentAt.
    void release(const WorkerId &worker, TimePoint sentAt);
    /// Records the result of a request sent at @p sentAt. Returns true if it caused the ejection of the endpoint.
    bool addResult(const WorkerId &worker, bool success, TimePoint sentAt, TimePoint now);
    bool ejectionEnabled = true;

    int inFlight(const WorkerId &worker) const;
    int inFlightOfShard(const ShardId &shard) const;
    int ejectedCount(TimePoint now) const;
    /// Recent latencies of the endpoints of @p pool.
    LatencyWindow &latencyWindow(const std::string &pool);

private:
    struct PoolEndpoints
    {
        std::vector<EndpointState *> listed;
        TimePoint refreshedAt;
        bool isLoaded = false;
        LatencyWindow latencyWindow;
    };

    bool mayEject(const std::string &pool, TimePoint now) const;
    double baseLatencyMs(const std::string &pool) const;

    const EndpointDirectory *m_directory;
    std::map<WorkerId, EndpointState> m_endpoints;
    std::map<std::string, PoolEndpoints> m_pools;
};

} // namespace fescueledge
