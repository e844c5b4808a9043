#pragma once

#include "fescueledge/leasetimings.h"
#include "grantorgroup_pvt.h"

#include <functional>
#include <map>
#include <vector>

namespace fescueledge {

class ControlRegister;
class Loop;
class NodeTable;
class PeerTransport;
class StoreLease;
struct PeerResult;

/// Requests grants from the grantors of this node's groups, and computes how long the grants it holds let it act.
class GrantHolder
{
public:
    GrantHolder(Loop *loop, PeerTransport *transport, const StoreLease *lease, NodeTable *nodes,
                ControlRegister *controlRegister, const NodeId &self, const LeaseTimings &timings);

    void start();
    void stop();
    /// The time until which a majority of each group has granted; TimePoint::max() if this node is the only grantor.
    TimePoint heldUntil() const;
    /// Discards all grants. Called when the incarnation is lost.
    void clear();

private:
    void tick();
    void request(const Grantor &grantor);
    void onReply(const Grantor &grantor, Incarnation self, TimePoint sentAt, const PeerResult &result);
    TimePoint computeHeldUntil() const;
    TimePoint heldUntil(const GrantorGroup &group) const;
    TimePoint grantedUntil(const Grantor &grantor) const;

    Loop *m_loop;
    PeerTransport *m_transport;
    const StoreLease *m_lease;
    NodeTable *m_nodes;
    ControlRegister *m_control;
    NodeId m_self;
    LeaseTimings m_timings;
    bool m_running = false;
    std::map<Grantor, TimePoint> m_grants;
    mutable TimePoint m_heldUntil; ///< Cached for revision m_cachedRevision of the groups and the current grants.
    mutable std::uint64_t m_cachedRevision = 0;
    mutable bool m_isCached = false;
};

} // namespace fescueledge
