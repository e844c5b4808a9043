#pragma once

#include "fescueledge/controlregister.h"
#include "nodetable_pvt.h"

#include <list>
#include <map>
#include <set>

namespace fescueledge {

/// Finds out when no node may act on an older control version than a given one.
///
/// A node is done with older versions once it acknowledged the version, or its VM vanished, or its right has certainly
/// lapsed: more than a store lease since the commit, and more than a grant since so many of the grantors in its row
/// acknowledged the version that the rest is no majority.
class InForceTracker
{
public:
    /// @p rowValue gives the row of the version that this node has loaded.
    InForceTracker(Loop *loop, TableService *table, const VmDirectory *vms, PeerTransport *transport,
                   const LeaseTimings &timings, std::function<std::string()> rowValue);

    /// Waits until @p version, which is committed, is in force. The handler gets InForce or Waiting.
    void await(ControlVersion version, ControlRegister::OutcomeHandler handler);

private:
    /// A version that someone waits for.
    struct Wait
    {
        ControlVersion version = 0;
        TimePoint committedBefore; ///< The commit happened before this time.
        TimePoint deadline;
        std::map<Grantor, TimePoint> acknowledged;
        ControlRegister::OutcomeHandler handler;
    };

    void tick();
    void scan();
    void requestAcknowledgements();
    void onApplyReply(const NodeId &node, const PeerResult &result);
    void completeWaits();
    std::vector<NodeId> waitingFor(const Wait &wait) const;
    bool cannotActOnOlder(const Wait &wait, const NodeEntry &entry) const;
    bool hasAuthorityExpired(const Wait &wait, const NodeEntry &entry) const;

    Loop *m_loop;
    TableService *m_table;
    PeerTransport *m_transport;
    LeaseTimings m_timings;
    std::function<std::string()> m_rowValue;
    NodeTable m_nodes;
    std::list<Wait> m_waits;
    bool m_ticking = false;
    bool m_scanning = false;
};

} // namespace fescueledge
