#pragma once

#include "fescueledge/types.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fescueledge {

struct ControlState;

/// What this node may do now. Asked immediately before each effect; all calls on the control loop.
class Authority
{
public:
    virtual ~Authority() = default;

    virtual NodeId self() const = 0;
    /// Number of this run of the daemon; 0 before it registered.
    virtual Incarnation incarnation() const = 0;
    /// The time until which this node may act; in the past if it may not.
    virtual TimePoint actUntil() const = 0;
    /// The epoch of @p shard if this node owns it and may act now; nothing otherwise.
    virtual std::optional<Epoch> ownedEpoch(const ShardId &shard) const = 0;
    /// Row key and version that a transaction must name as a condition to be valid only under this ownership.
    virtual std::optional<RowVersion> ownedRowVersion(const ShardId &shard) const = 0;
    /// Shards that this node owns, whether or not it may act now. Ordered.
    virtual std::vector<ShardId> ownedShards() const = 0;
    /// The owner of @p shard as last heard; empty if none is known.
    virtual NodeId ownerOf(const ShardId &shard) const = 0;
    /// The control state in force on this node. Never null; version 0 before any was accepted.
    virtual std::shared_ptr<const ControlState> control() const = 0;
    /// Nodes believed to be up, this one included. Ordered.
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
/// The queue partition that keeps @p job.
int partitionOfJob(const JobId &job);
/// The job that @p task belongs to; empty if @p task is not of the form `<job id>/<index>`.
JobId jobOfTask(const TaskId &task);

} // namespace fescueledge
