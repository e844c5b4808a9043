#pragma once

#include "fescueledge/leasetimings.h"
#include "noderow_pvt.h"

#include <map>
#include <optional>

namespace fescueledge {

class VmDirectory;
struct ReadResult;

/// What this node knows of one node. All times are on this node's clock.
struct NodeEntry
{
    NodeRow row;
    RowVersion version = 0;
    TimePoint versionSeenAt; ///< When this version of the row was first read.
    TimePoint incarnationSeenAt; ///< When a row of this incarnation was first read.
    TimePoint lastContact; ///< Last time a new version of the row was read or a message arrived.
    bool wasListed = false; ///< The VM list has contained the VM at the row's address since incarnationSeenAt.
    std::optional<TimePoint> missingSince; ///< Since when the VM list has not contained it; unset while listed.
};

/// The rows of all nodes as last read from the store, with the time of the last contact and the VM listing of each.
class NodeTable
{
public:
    NodeTable(const VmDirectory *vms, const LeaseTimings &timings);

    /// Applies the result of a scan of the node rows that was sent at @p sentAt and answered at @p now, unless a later
    /// scan was applied before.
    void update(const ReadResult &scan, TimePoint sentAt, TimePoint now);
    /// Records that a message of @p node arrived at @p now.
    void recordContact(const NodeId &node, TimePoint now);

    const std::map<NodeId, NodeEntry> &entries() const;
    const NodeEntry *find(const NodeId &node) const;
    /// When the last answered scan was sent; unset before the first.
    std::optional<TimePoint> lastScan() const;
    /// True if the last scan was sent less than @p age before @p now.
    bool isFresh(TimePoint now, Duration age) const;
    /// True if the VM of @p entry was listed and has since been missing from the VM list for at least the absence
    /// limit, so that it counts as removed.
    bool isVmRemoved(const NodeEntry &entry) const;
    /// True if all grants given by @p grantor are known to have expired without asking it: it has deregistered, its VM
    /// was removed, or a later incarnation of it was first seen more than a grant's duration ago.
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
