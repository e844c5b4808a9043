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

/// One endpoint and what this node has running on it.
struct EndpointState
{
    EndpointEntry entry;
    bool isListed = false; ///< The directory still lists it.
    std::multiset<TimePoint> sentAt; ///< One for each request that may still run on it.
    AgedLatency latency;
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

    /// Reads the endpoints of @p pool from the directory again unless that was done a moment ago.
    void refresh(const std::string &pool, TimePoint now, bool force = false);
    /// Endpoints of @p pool as last read.
    const std::vector<EndpointState *> &listed(const std::string &pool);
    EndpointState *find(const WorkerId &worker);

    /// Why @p endpoint can't take a request now; empty if it can.
    static const char *exclusionReason(const EndpointState &endpoint, const Pool &pool, bool idempotent, TimePoint now);
    EndpointCandidate candidate(const EndpointState &endpoint, const Pool &pool, TimePoint now) const;
    PoolLoad load(const Pool &pool, TimePoint now);

    /// Takes one slot and one connection. Throws InvariantViolation if there is none.
    void acquire(const WorkerId &worker, const Pool &pool, TimePoint now);
    /// Gives back what acquire() took at @p sentAt.
    void release(const WorkerId &worker, TimePoint sentAt);
    /// Records how a request sent at @p sentAt went. Returns true if the endpoint was ejected for it.
    bool addResult(const WorkerId &worker, bool success, TimePoint sentAt, TimePoint now);
    bool ejectionEnabled = true;

    int inFlight(const WorkerId &worker) const;
    int inFlightOfShard(const ShardId &shard) const;
    int ejectedCount(TimePoint now) const;
    /// Recent latencies of the endpoints of @p pool.
    LatencyWindow &window(const std::string &pool);

private:
    struct PoolEndpoints
    {
        std::vector<EndpointState *> listed;
        TimePoint refreshed;
        bool wasRead = false;
        LatencyWindow window;
    };

    bool mayEject(const std::string &pool, TimePoint now) const;
    double baseLatency(const std::string &pool) const;

    const EndpointDirectory *m_directory;
    std::map<WorkerId, EndpointState> m_endpoints;
    std::map<std::string, PoolEndpoints> m_pools;
};

} // namespace fescueledge
