#pragma once

#include "capacitynotice_pvt.h"

#include <functional>
#include <map>

namespace fescueledge {

class Authority;
class Loop;
class PeerTransport;

/// What other nodes have free, by their lagging notices, less what this node handed to them since.
class RemoteCapacity
{
public:
    /// Gives the load of the pools of this node for its own notices.
    using LoadSource = std::function<std::map<std::string, PoolLoad>()>;

    /// One other node that may take a request.
    struct Candidate
    {
        NodeId node;
        PoolLoad load;
        double hopMs = 0; ///< Round trip to it.
    };

    RemoteCapacity(Loop *loop, PeerTransport *transport, Authority *authority);

    void setDataCentre(const DataCentreId &dataCentre);
    /// Registers the receiver and sends notices each @p period.
    void start(Milliseconds interval, LoadSource loadSource);
    /// Sends a notice to all live nodes now.
    void broadcastNotice();
    /// Other live nodes with endpoints of @p pool, by fresh notices.
    std::vector<Candidate> candidates(const std::string &pool) const;
    /// Counts a request handed to @p node until its next notice.
    void countForward(const NodeId &node, const std::string &pool);
    /// Forgets what @p node has free until its next notice.
    void invalidate(const NodeId &node);

private:
    struct Node
    {
        EndpointCapacityNotice notice;
        TimePoint receivedAt;
        double roundTripMs = 0; ///< 0 before it was measured.
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
