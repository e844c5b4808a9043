#pragma once

#include "fescueledge/leasetimings.h"
#include "fescueledge/random.h"
#include "fescueledge/transaction.h"
#include "shardassigner_pvt.h"
#include "shardtable_pvt.h"

#include <functional>
#include <map>
#include <vector>

namespace fescueledge {

class Loop;
class NodeTable;
class PeerTransport;
class StoreLease;
class TableService;
class VmDirectory;
struct CommitResult;
struct ReadResult;

/// Claims free shards that this node should own, and hands owned shards over to the nodes that should own them.
class ShardSystem
{
public:
    ShardSystem(Loop *loop, TableService *table, PeerTransport *transport, const VmDirectory *vms,
                const StoreLease *lease, const NodeTable *nodes, ShardTable *shards, const NodeId &self,
                const LeaseTimings &timings, std::uint64_t seed, std::function<bool()> mayAct);

    /// Sets the function that returns true once a shard has nothing in flight and can be handed over.
    void setReleaseCheck(std::function<bool(const ShardId &)> check);
    /// Stops claiming shards and hands over all owned ones.
    void setDraining();
    /// Applies the shard rows of a scan.
    void applyScan(const ReadResult &rows);
    /// Starts claims and handovers based on the latest scan of shards and nodes.
    void run();
    /// True if this node owns no shards, including those being released.
    bool ownsNoShards() const;

private:
    /// A shard that is being handed over.
    struct Move
    {
        TimePoint startedAt;
        bool isOutcomeUnknown = false; ///< The outcome of a release that was sent is unknown.
    };

    void addKnownShards();
    void claimIfDue(const ShardId &shard, ShardEntry *entry);
    bool isFree(const ShardEntry &entry) const;
    void claim(const ShardId &shard, const ShardEntry &entry);
    void moveIfNeeded(const ShardId &shard, const ShardEntry &entry);
    bool isPastJoinDelay(const NodeId &node) const;
    NodeId targetFor(const ShardId &shard) const;
    void pollMove(const ShardId &shard);
    void abandonMove(const ShardId &shard);
    void release(const ShardId &shard, const ShardEntry &entry);
    void onReleased(const ShardId &shard, const ShardRow &row, const CommitResult &result);
    void applyRow(const ShardId &shard, const ShardRow &row, RowVersion version);
    void onHandedOver(const ShardId &shard);
    Transaction makeWrite(const ShardId &shard, RowVersion expected, const ShardRow &row);

    Loop *m_loop;
    TableService *m_table;
    PeerTransport *m_transport;
    const VmDirectory *m_vms;
    const StoreLease *m_lease;
    const NodeTable *m_nodes;
    ShardTable *m_shards;
    NodeId m_self;
    LeaseTimings m_timings;
    Random m_random;
    std::function<bool()> m_mayAct;
    std::function<bool(const ShardId &)> m_releaseCheck;
    ShardAssigner m_assigner;
    bool m_draining = false;
    std::map<ShardId, Move> m_moves;
};

} // namespace fescueledge
