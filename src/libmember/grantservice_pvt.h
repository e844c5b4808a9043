#pragma once

#include "fescueledge/leasetimings.h"
#include "grantledger_pvt.h"

namespace fescueledge {

class ControlRegister;
class Loop;
class NodeTable;
class PeerTransport;
class StoreLease;
struct GrantReply;
struct GrantRequest;
struct RefusalReply;
struct RefusalRequest;

/// Answers requests of other nodes for grants and refusals from the ledger.
///
/// A node that is not ready neither grants nor refuses, because it may not know the newest control version yet.
class GrantService
{
public:
    GrantService(Loop *loop, PeerTransport *transport, const StoreLease *lease, NodeTable *nodes,
                 ControlRegister *controlRegister, const LeaseTimings &timings);

    /// Stops giving grants.
    void close();
    /// The time at which all grants given have expired.
    TimePoint allExpiredAt() const;

private:
    GrantReply onGrant(const NodeId &from, const GrantRequest &request);
    RefusalReply onRefusal(const RefusalRequest &request);

    Loop *m_loop;
    const StoreLease *m_lease;
    NodeTable *m_nodes;
    ControlRegister *m_control;
    GrantLedger m_ledger;
};

} // namespace fescueledge
