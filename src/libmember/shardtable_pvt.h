#pragma once

#include "fescueledge/authority.h"
#include "shardrow_pvt.h"

#include <functional>
#include <map>
#include <optional>

namespace fescueledge {

struct Row;

/// What this node knows of one shard.
struct ShardEntry
{
    enum class State {
        NotOwned, ///< Owned by another node, or free.
        Owned, ///< Owned by this node.
        Releasing, ///< Still owned by this node, which no longer acts for it.
    };

    State state = State::NotOwned;
    ShardRow row;
    RowVersion version = 0; ///< 0 if no row is known.
    std::optional<TimePoint> freeSince; ///< When it was first seen without an owner.
};

/// All shards, and which of them this node owns. Rows may come from any read and in any order; versions that are not
/// newer than the known one are ignored.
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
    /// Applies a version of a shard's row. @p self is this node's incarnation, and @p mayAct tells whether this node
    /// may act now. Throws InvariantViolation if the row has an older epoch, or assigns a shard for which this node
    /// acts to another owner.
    void update(const ShardId &shard, const ShardRow &row, RowVersion version, Incarnation self, bool mayAct);
    /// Stops acting for an owned shard.
    void startRelease(const ShardId &shard);
    /// Resumes acting for a shard whose release is known not to have been committed.
    void cancelRelease(const ShardId &shard);
    /// Marks all shards as not owned, without writing their rows. Called when this node is fenced or stops.
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
