#pragma once

#include "capacitynotice_pvt.h"

#include <functional>
#include <map>

namespace fescueledge {

class Authority;
class Loop;
class PeerTransport;

/// Free capacity of other nodes: as in their latest notices, which lag, less the requests forwarded to them since.
class RemoteCapacity
{
public:
    /// Returns the load of this node's pools, for its own notices.
    using LoadSource = std::function<std::map<std::string, PoolLoad>()>;

    /// A node that may run a request, and its load.
    struct Candidate
    {
        NodeId node;
        PoolLoad load;
        double hopMs = 0; ///< Round trip to the node.
    };

    RemoteCapacity(Loop *loop, PeerTransport *transport, Authority *authority);

    void setDataCentre(const DataCentreId &dataCentre);
    /// Registers the receiver and sends a notice every @p interval.
    void start(Milliseconds interval, LoadSource loadSource);
    /// Sends a notice to all other live nodes now.
    void broadcastNotice();
    /// Other live nodes whose latest notice is fresh and has slots of @p pool.
    std::vector<Candidate> candidates(const std::string &pool) const;
    /// Counts a request forwarded to @p node against its capacity until its next notice.
    void countForward(const NodeId &node, const std::string &pool);
    /// Treats @p node as without capacity until its next notice.
    void invalidate(const NodeId &node);

private:
    struct Node
    {
        EndpointCapacityNotice notice;
        TimePoint receivedAt;
        double roundTripMs = 0; ///< 0 until the first reply.
        std::map<std::string, int> forwardsSinceNotice;
    };

    void tick();
    void onNotice(const NodeId &from, const EndpointCapacityNotice &notice);
    double hopMs(const Node &node) const;

    Loop *m_loop;
    PeerTransport *m_transport;
    Authority *m_authority;
    DataCentreId m_dataCentre;
    Milliseconds m_noticeInterval{0};
    LoadSource m_loadSource;
    std::uint64_t m_sequence = 0;
    std::map<NodeId, Node> m_nodes;
};

} // namespace fescueledge
