#pragma once

#include "fescueledge/authority.h"
#include "fescueledge/controlstate.h"
#include "fescueledge/jobqueue.h"
#include "fescueledge/testing/fakenetwork.h"
#include "fescueledge/testing/fakepeertransport.h"
#include "fescueledge/testing/faketableservice.h"
#include "fescueledge/testing/memorytable.h"
#include "fescueledge/testing/simloop.h"
#include "fescueledge/testing/simworld.h"

#include "fakeworkers_pvt.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

/// Several daemons with job queues in virtual time, over one store and one set of workers, for tests.
namespace fescueledge {

class FakeRackOwner;

/// Owners of the shards. Assigns a shard to one node at a time, as the real authority does, and writes its shard row.
class FakeShardAssignments
{
public:
    struct Ownership
    {
        NodeId owner;
        Incarnation incarnation = 0;
        Epoch epoch = 0;
        RowVersion version = 0;
    };

    explicit FakeShardAssignments(MemoryTable *rows);
    void assign(const ShardId &shard, const NodeId &to, Incarnation incarnation);
    void revoke(const ShardId &shard);
    std::map<ShardId, Ownership> ownerships;

private:
    MemoryTable *m_rows;
};

/// The authority of one run of one node. It learns the owners of shards with a delay.
class FakeAuthority : public Authority
{
public:
    FakeAuthority(SimWorld *world, FakeShardAssignments *assignments, const std::set<NodeId> *live,
                  const std::shared_ptr<const ControlState> *control, const NodeId &self, Incarnation incarnation);
    NodeId self() const override;
    Incarnation incarnation() const override;
    TimePoint actUntil() const override;
    std::optional<Epoch> ownedEpoch(const ShardId &shard) const override;
    std::optional<RowVersion> ownedRowVersion(const ShardId &shard) const override;
    std::vector<ShardId> ownedShards() const override;
    NodeId ownerOf(const ShardId &shard) const override;
    std::shared_ptr<const ControlState> control() const override;
    std::vector<NodeId> liveNodes() const override;

private:
    const FakeShardAssignments::Ownership *findOwnership(const ShardId &shard) const;

    SimWorld *m_world;
    FakeShardAssignments *m_assignments;
    const std::set<NodeId> *m_live;
    const std::shared_ptr<const ControlState> *m_control;
    NodeId m_self;
    Incarnation m_incarnation;
    mutable std::map<ShardId, NodeId> m_knownOwners;
    mutable TimePoint m_ownersReadAt;
};

/// One run of one daemon.
struct QueueNode
{
    QueueNode(SimWorld *world, FakeNetwork *network, MemoryTable *rows, FakeAuthority authorityOf, FakeWorkers *workers,
              std::uint64_t seed, const QueuePolicy &policy);
    ~QueueNode();

    SimLoop loop;
    FakeTableService table;
    FakePeerTransport transport;
    FakeAuthority authority;
    JobQueue queue;
    std::unique_ptr<FakeRackOwner> rack;
};

class QueueWorld
{
public:
    /// @p nodes daemons, @p racks racks of @p workersPerRack workers of @p size.
    QueueWorld(std::uint64_t seed, int nodes, int racks, int workersPerRack, const Resources &size,
               const QueuePolicy &policy = QueuePolicy());
    ~QueueWorld();

    QueueNode &node(int i);
    int nodeCount() const;
    void kill(int i);
    void restart(int i);
    /// Moves @p shard to node @p to, if that is up, after @p gap without an owner.
    void move(const ShardId &shard, int to, Duration gap);
    std::vector<ShardId> shards() const;
    void setFaults(const FakeTableService::Faults &faults);
    JobSpec spec(const std::string &team, const std::string &key, int tasks, std::int64_t milliCores) const;
    /// Retries the submission until it is accepted; accepted() then holds the id.
    void submit(int node, const JobSpec &spec);
    const std::map<std::string, JobId> &accepted() const;
    /// True if every accepted job was archived.
    bool allEnded() const;
    JobStatus endedStatus(const JobId &job) const;
    QueueCounters counters() const;

    SimWorld world;
    MemoryTable rows;
    FakeNetwork network;
    Random random;
    ControlState control;
    std::shared_ptr<const ControlState> currentControl;
    std::set<NodeId> live;
    FakeShardAssignments assignments;
    FakeWorkers workers;

private:
    void startNode(int i);

    QueuePolicy m_policy;
    FakeTableService::Faults m_faults;
    std::vector<std::unique_ptr<QueueNode>> m_nodes;
    std::vector<std::unique_ptr<QueueNode>> m_killed;
    std::vector<ShardId> m_shards;
    std::map<std::string, JobId> m_accepted;
    Incarnation m_lastIncarnation = 0;
};

} // namespace fescueledge
