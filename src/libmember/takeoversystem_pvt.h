#pragma once

#include "fescueledge/leasetimings.h"
#include "fescueledge/random.h"
#include "grantorgroup_pvt.h"

#include <functional>
#include <map>
#include <set>

namespace fescueledge {

class Loop;
class NodeTable;
class PeerTransport;
class StoreLease;
class TableService;
struct NodeEntry;
struct PeerResult;

/// Fences nodes that no longer renew their row, so that other nodes can claim their shards.
///
/// Fencing is a conditional write to the node's row. It requires that the row's version has not changed for longer than
/// a store lease, and that the node can no longer hold a majority of the grantors in that version, because enough of
/// them have refused it or their grants have expired. A node whose VM was removed from the VM list is fenced without
/// regard to its grantors.
class TakeoverSystem
{
public:
    TakeoverSystem(Loop *loop, TableService *table, PeerTransport *transport, const StoreLease *lease,
                   const NodeTable *nodes, const NodeId &self, const LeaseTimings &timings, std::uint64_t seed,
                   std::function<void()> onFenced);

    void start();
    void stop();

private:
    /// An attempt to fence a node at one version of its row.
    struct Attempt
    {
        RowVersion version = 0;
        std::set<Grantor> refused;
        bool committing = false;
    };

    void tick();
    void run();
    bool isDueForFencing(const NodeEntry &entry) const;
    int rankFor(const NodeId &node) const;
    Attempt &attemptFor(const NodeEntry &entry);
    void requestRefusals(const NodeEntry &entry, const Attempt &attempt);
    void onRefusal(const NodeId &node, RowVersion version, const Grantor &grantor, const PeerResult &result);
    void fenceIfMajorityLost(const NodeEntry &entry, Attempt *attempt);
    void fence(const NodeEntry &entry);
    void removeIfVmRemoved(const NodeEntry &entry);

    Loop *m_loop;
    TableService *m_table;
    PeerTransport *m_transport;
    const StoreLease *m_lease;
    const NodeTable *m_nodes;
    NodeId m_self;
    LeaseTimings m_timings;
    Random m_random;
    std::function<void()> m_onFenced;
    bool m_running = false;
    std::map<NodeId, Attempt> m_attempts;
};

} // namespace fescueledge
