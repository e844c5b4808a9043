#pragma once

#include "fescueledge/authority.h"
#include "shardrow_pvt.h"

#include <functional>
#include <map>
#include <optional>

namespace fescueledge {

struct Row;

/// One shard as this node sees it.
struct ShardEntry
{
    enum class State {
        NotOwned, ///< Another node's, or free.
        Owned, ///< This node's own.
        Releasing, ///< This node's own still, but it acts for it no more.
    };

    State state = State::NotOwned;
    ShardRow row;
    RowVersion version = 0; ///< 0 before a row exists.
    std::optional<TimePoint> freeSince; ///< When it was first seen without an owner.
};

/// The shards and what this node owns of them. Rows are taken in from any read, in any order: only newer versions
/// than the known one count.
class ShardTable
{
public:
    struct Listener
    {
        std::function<void(const ShardId &, Epoch)> onAcquired;
        std::function<void(const ShardId &)> onLost;
    };

    ShardTable(const NodeId &self, Listener listener);

    /// Adds @p shard if it is not known yet.
    void add(const ShardId &shard);
    /// Takes in a version of a shard's row. @p mayAct says whether this node may act now. Throws InvariantViolation
    /// if the row gives another node a shard for which this node acts, or an older epoch.
    void update(const ShardId &shard, const ShardRow &row, RowVersion version, Incarnation self, bool mayAct);
    /// Stops acting for an owned shard.
    void startRelease(const ShardId &shard);
    /// Goes on acting for a shard whose release was certainly not written.
    void cancelRelease(const ShardId &shard);
    /// Gives up all shards; for an incarnation that was fenced.
    void loseAll();

    std::map<ShardId, ShardEntry> &entries();
    const std::map<ShardId, ShardEntry> &entries() const;
    const ShardEntry *find(const ShardId &shard) const;

private:
    void lose(const ShardId &shard, ShardEntry *entry);

    NodeId m_self;
    Listener m_listener;
    std::map<ShardId, ShardEntry> m_entries;
};

} // namespace fescueledge
