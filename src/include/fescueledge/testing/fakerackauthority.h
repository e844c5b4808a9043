#pragma once

#include "fescueledge/authority.h"

#include <map>
#include <memory>

namespace fescueledge {

class Loop;
class SimWorld;

class FakeRackAuthority;

/// Ownership of racks and the current control state, for tests of rack owners without a store.
class FakeOwnership
{
public:
    struct Shard
    {
        NodeId owner;
        Epoch epoch = 0;
        RowVersion version = 0;
    };

    explicit FakeOwnership(SimWorld *world);

    void addShard(const ShardId &shard, const NodeId &owner);
    /// Moves shards whose owner's authority has expired to nodes that may act, now and every half second.
    void startTakeover();
    /// Accepts @p state as the control state; nodes apply it with their next renewal.
    void accept(const ControlState &state);
    /// True if each node has applied the control state or may not act under an older one.
    bool inForce() const;

    std::map<ShardId, Shard> shards;
    NodeId queueOwner; ///< Owner of every queue partition.
    std::shared_ptr<const ControlState> control;
    std::map<NodeId, FakeRackAuthority *> nodes;

private:
    void takeOver();
    SimWorld *m_world;
};

/// The authority of one node: a lease of 3 s, renewed twice a second unless the node is cut off.
class FakeRackAuthority : public Authority
{
public:
    FakeRackAuthority(FakeOwnership *ownership, Loop *loop, SimWorld *world, const NodeId &self);
    void start();

    NodeId self() const override;
    Incarnation incarnation() const override;
    TimePoint actUntil() const override;
    std::optional<Epoch> ownedEpoch(const ShardId &shard) const override;
    std::optional<RowVersion> ownedRowVersion(const ShardId &shard) const override;
    std::vector<ShardId> ownedShards() const override;
    NodeId ownerOf(const ShardId &shard) const override;
    std::shared_ptr<const ControlState> control() const override;
    std::vector<NodeId> liveNodes() const override;
    /// True if the authority has certainly expired.
    bool lapsed() const;

    bool cut = false; ///< Renewals do not get through.

private:
    void renew();

    FakeOwnership *m_ownership;
    Loop *m_loop;
    SimWorld *m_world;
    NodeId m_self;
    TimePoint m_actUntil;
    TimePoint m_lapsesAt; ///< In world time.
    std::map<ShardId, FakeOwnership::Shard> m_seen;
    std::shared_ptr<const ControlState> m_control;
};

} // namespace fescueledge
