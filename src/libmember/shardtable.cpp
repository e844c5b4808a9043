#include "shardtable_pvt.h"

#include "fescueledge/invariant.h"

#include <glog/logging.h>
#include <utility>

namespace fescueledge {

ShardTable::ShardTable(const NodeId &self, Listener listener)
    : m_self(self)
    , m_listener(std::move(listener))
{
}

void ShardTable::add(const ShardId &shard)
{
    m_entries.emplace(shard, ShardEntry());
}

void ShardTable::update(const ShardId &shard, const ShardRow &row, RowVersion version, Incarnation self, bool mayAct)
{
    ShardEntry &entry = m_entries[shard];
    if (version <= entry.version) {
        return;
    }
    const std::string ids = "shard=" + shard + " node=" + m_self + " owner=" + row.owner.node;
    assertInvariant(row.epoch >= entry.row.epoch, Invariant::VersionMonotonic, ids);
    const bool isMine = self != 0 && row.owner == Grantor{m_self, self};
    const bool isLost = entry.state == ShardEntry::State::Owned && !isMine;
    assertInvariant(!(isLost && mayAct), Invariant::SingleOwner, ids);
    entry.row = row;
    entry.version = version;
    entry.freeSince.reset();
    if (isMine && entry.state != ShardEntry::State::Owned) {
        entry.state = ShardEntry::State::Owned;
        LOG(INFO) << "shard_acquired shard=" << shard << " node=" << m_self << " epoch=" << row.epoch;
        m_listener.onAcquired(shard, row.epoch);
    } else if (!isMine && entry.state != ShardEntry::State::NotOwned) {
        lose(shard, &entry);
    }
}

void ShardTable::startRelease(const ShardId &shard)
{
    m_entries.at(shard).state = ShardEntry::State::Releasing;
}

void ShardTable::cancelRelease(const ShardId &shard)
{
    m_entries.at(shard).state = ShardEntry::State::Owned;
}

void ShardTable::loseAll()
{
    for (auto &[shard, entry] : m_entries) {
        if (entry.state != ShardEntry::State::NotOwned) {
            lose(shard, &entry);
        }
    }
}

std::map<ShardId, ShardEntry> &ShardTable::entries()
{
    return m_entries;
}

const std::map<ShardId, ShardEntry> &ShardTable::entries() const
{
    return m_entries;
}

const ShardEntry *ShardTable::find(const ShardId &shard) const
{
    const auto it = m_entries.find(shard);
    return it == m_entries.end() ? nullptr : &it->second;
}

void ShardTable::lose(const ShardId &shard, ShardEntry *entry)
{
    entry->state = ShardEntry::State::NotOwned;
    LOG(INFO) << "shard_lost shard=" << shard << " node=" << m_self;
    m_listener.onLost(shard);
}

} // namespace fescueledge
