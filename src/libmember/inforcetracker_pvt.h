#pragma once

#include "fescueledge/controlregister.h"
#include "nodetable_pvt.h"

#include <list>
#include <map>
#include <set>

namespace fescueledge {

/// Determines when a control version is in force, that is, when no node may act on an older one.
///
/// A node cannot act on older versions if it has acknowledged the version, is fenced, has no grantor group yet, or its
/// VM was removed from the VM list. Otherwise its authority must have expired: more than a store lease has passed since
/// the commit, and more than a grant since so many of the grantors in its row acknowledged the version that the others
/// are no majority. Grantors whose grants are known to have expired count like those that acknowledged.
class InForceTracker
{
public:
    /// @p rowValue returns the row value of the control version that this node has loaded.
    InForceTracker(Loop *loop, TableService *table, const VmDirectory *vms, PeerTransport *transport,
                   const LeaseTimings &timings, std::function<std::string()> rowValue);

    /// Waits until @p version, which is committed, is in force. The handler receives InForce, or Waiting on timeout.
    void await(ControlVersion version, ControlRegister::OutcomeHandler handler);

private:
    /// A pending call of await().
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
