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

/// Fences nodes that have fallen silent, so that their shards are free.
///
/// A node is fenced by a write to its row that is conditioned on the version that was silent for longer than a store
/// lease, once enough of the grantors that this version names have refused it.
class TakeoverSystem
{
public:
    TakeoverSystem(Loop *loop, TableService *table, PeerTransport *transport, const StoreLease *lease,
                   const NodeTable *nodes, const NodeId &self, const LeaseTimings &timings, std::uint64_t seed,
                   std::function<void()> onFenced);

    void start();
    void stop();

private:
    /// An attempt to fence one version of a node's row.
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
