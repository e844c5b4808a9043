#pragma once

#include "fescueledge/types.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fescueledge {

struct ControlState;

/// What this node is currently authorized to do. Check it immediately before each side effect. All calls on the control
/// loop.
class Authority
{
public:
    virtual ~Authority() = default;

    virtual NodeId self() const = 0;
    /// Incarnation of this run of the daemon; 0 until it has registered.
    virtual Incarnation incarnation() const = 0;
    /// The time until which this node may act; a time in the past if it may not act.
    virtual TimePoint actUntil() const = 0;
    /// The epoch of @p shard if this node owns it and may act now; nullopt otherwise.
    virtual std::optional<Epoch> ownedEpoch(const ShardId &shard) const = 0;
    /// Version of the row of @p shard if this node owns it. A transaction that is valid only under this ownership must
    /// have that version as a condition.
    virtual std::optional<RowVersion> ownedRowVersion(const ShardId &shard) const = 0;
    /// Shards that this node owns, whether or not it may act now. Ordered.
    virtual std::vector<ShardId> ownedShards() const = 0;
    /// The last known owner of @p shard; empty if none is known.
    virtual NodeId ownerOf(const ShardId &shard) const = 0;
    /// The control state in force on this node. Never null; version 0 before any was accepted.
    virtual std::shared_ptr<const ControlState> control() const = 0;
    /// Nodes considered up, including this one. Ordered.
    virtual std::vector<NodeId> liveNodes() const = 0;
};

/// Key of the row that holds the owner and the epoch of @p shard.
std::string shardKey(const ShardId &shard);
/// Name of the shard of the workers in @p rack of @p dataCentre.
ShardId rackShard(const DataCentreId &dataCentre, const std::string &rack);
/// Number of partitions of the job queue.
constexpr int queuePartitions = 16;
/// Name of the shard of queue partition @p partition.
ShardId queueShard(int partition);
/// The queue partition that stores @p job.
int partitionOfJob(const JobId &job);
/// The job that @p task belongs to; empty if @p task is not of the form `<job id>/<index>`.
JobId jobOfTask(const TaskId &task);

} // namespace fescueledge
