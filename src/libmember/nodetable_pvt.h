#pragma once

#include "fescueledge/leasetimings.h"
#include "noderow_pvt.h"

#include <map>
#include <optional>

namespace fescueledge {

class VmDirectory;
struct ReadResult;

/// One node as this node sees it. All times are of this node's clock.
struct NodeEntry
{
    NodeRow row;
    RowVersion version = 0;
    TimePoint versionSeenAt; ///< When this version of the row was first read.
    TimePoint incarnationSeenAt; ///< When a row of this incarnation was first read.
    TimePoint lastContact; ///< Last sign of life: a new version of the row or a message.
    bool wasListed = false; ///< The VM at the row's address was in the VM list since incarnationSeen.
    std::optional<TimePoint> missingSince; ///< When it was first missing from the VM list.
};

/// The rows of all nodes, as last read from the store, and what else is known of each node.
class NodeTable
{
public:
    NodeTable(const VmDirectory *vms, const LeaseTimings &timings);

    /// Takes in the answer to a scan of the node rows that was sent at @p sentAt and came at @p now.
    void update(const ReadResult &scan, TimePoint sentAt, TimePoint now);
    /// Notes a sign of life of @p node.
    void recordContact(const NodeId &node, TimePoint now);

    const std::map<NodeId, NodeEntry> &entries() const;
    const NodeEntry *find(const NodeId &node) const;
    /// When the last scan that was answered was sent; nothing before the first.
    std::optional<TimePoint> lastScan() const;
    /// True if the last scan was sent less than @p age before @p now.
    bool isFresh(TimePoint now, Duration age) const;
    /// True if the VM of @p entry was listed and is gone for good.
    bool isVmRemoved(const NodeEntry &entry) const;
    /// True if all grants of @p grantor have certainly lapsed without its own word: it deregistered, its VM vanished,
    /// or a later incarnation of it has been up for more than one grant.
    bool haveGrantsExpired(const Grantor &grantor, TimePoint now) const;

private:
    void updateEntry(const NodeRow &row, RowVersion version, TimePoint now);
    void updateListing(NodeEntry *entry) const;

    const VmDirectory *m_vms;
    LeaseTimings m_timings;
    std::map<NodeId, NodeEntry> m_entries;
    std::optional<TimePoint> m_lastScan;
};

} // namespace fescueledge
