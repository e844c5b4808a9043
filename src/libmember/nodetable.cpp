#include "nodetable_pvt.h"

#include "fescueledge/readresult.h"
#include "fescueledge/vmdirectory.h"

#include <set>

namespace fescueledge {

NodeTable::NodeTable(const VmDirectory *vms, const LeaseTimings &timings)
    : m_vms(vms)
    , m_timings(timings)
{
}

void NodeTable::update(const ReadResult &scan, TimePoint sentAt, TimePoint now)
{
    if (!scan.available || (m_lastScan.has_value() && sentAt < *m_lastScan)) {
        return;
    }
    m_lastScan = sentAt;
    std::set<NodeId> present;
    for (const Row &row : scan.rows) {
        const NodeRow decoded = decodeNodeRow(row);
        present.insert(decoded.identity.id);
        updateEntry(decoded, row.version, now);
    }
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        it = present.count(it->first) == 0 ? m_entries.erase(it) : std::next(it);
    }
    for (auto &[node, entry] : m_entries) {
        updateListing(&entry);
    }
}

void NodeTable::updateEntry(const NodeRow &row, RowVersion version, TimePoint now)
{
    NodeEntry &entry = m_entries[row.identity.id];
    if (entry.version == version) {
        return;
    }
    if (entry.row.incarnation != row.incarnation) {
        entry = NodeEntry();
        entry.incarnationSeenAt = now;
    }
    entry.row = row;
    entry.version = version;
    entry.versionSeenAt = now;
    entry.lastContact = now;
}

void NodeTable::updateListing(NodeEntry *entry) const
{
    if (!m_vms->lastRefresh().has_value()) {
        return;
    }
    const VmEntry *vm = m_vms->find(entry->row.identity.id);
    if (vm != nullptr && vm->address == entry->row.identity.peerAddress) {
        entry->wasListed = true;
        entry->missingSince.reset();
    } else if (!entry->missingSince.has_value()) {
        entry->missingSince = m_vms->lastRefresh();
    }
}

void NodeTable::recordContact(const NodeId &node, TimePoint now)
{
    const auto it = m_entries.find(node);
    if (it != m_entries.end()) {
        it->second.lastContact = now;
    }
}

const std::map<NodeId, NodeEntry> &NodeTable::entries() const
{
    return m_entries;
}

const NodeEntry *NodeTable::find(const NodeId &node) const
{
    const auto it = m_entries.find(node);
    return it == m_entries.end() ? nullptr : &it->second;
}

std::optional<TimePoint> NodeTable::lastScan() const
{
    return m_lastScan;
}

bool NodeTable::isFresh(TimePoint now, Duration age) const
{
    return m_lastScan.has_value() && now - *m_lastScan < age;
}

bool NodeTable::isVmRemoved(const NodeEntry &entry) const
{
    const bool listed = entry.wasListed || entry.row.listed;
    const std::optional<TimePoint> refreshed = m_vms->lastRefresh();
    if (!listed || !entry.missingSince.has_value() || !refreshed.has_value()) {
        return false;
    }
    return *refreshed - *entry.missingSince >= m_timings.withDrift(m_timings.absenceTimeout);
}

bool NodeTable::haveGrantsExpired(const Grantor &grantor, TimePoint now) const
{
    if (!m_lastScan.has_value()) {
        return false;
    }
    const NodeEntry *entry = find(grantor.node);
    if (entry == nullptr) {
        return true;
    }
    if (entry->row.incarnation > grantor.incarnation) {
        return now - entry->incarnationSeenAt > m_timings.withDrift(m_timings.grant);
    }
    return entry->row.incarnation == grantor.incarnation && isVmRemoved(*entry);
}

} // namespace fescueledge
