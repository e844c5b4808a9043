#pragma once

#include "fescueledge/authority.h"
#include "fescueledge/leasetimings.h"
#include "fescueledge/nodeidentity.h"

#include <functional>
#include <memory>

namespace fescueledge {

class ControlRegister;
class Loop;
class PeerTransport;
class TableService;
class VmDirectory;

/// This node's membership and its right to act: a thin front of the systems in libmember.
///
/// All calls on the control loop; the object must outlive the loop's last event.
class NodeAuthority : public Authority
{
public:
    using AcquiredListener = std::function<void(const ShardId &, Epoch)>;
    using LostListener = std::function<void(const ShardId &)>;
    using ReleaseCheck = std::function<bool(const ShardId &)>;

    NodeAuthority(Loop *loop, TableService *table, const VmDirectory *vms, PeerTransport *transport,
                  ControlRegister *controlRegister, const NodeIdentity &identity, const LeaseTimings &timings,
                  std::uint64_t seed);
    ~NodeAuthority() override;
    NodeAuthority(const NodeAuthority &) = delete;
    NodeAuthority &operator=(const NodeAuthority &) = delete;

    /// Registers this node and starts to take part. Add the listeners before.
    void start();
    /// Hands the owned shards to other nodes, waits until the grants that this node gave have lapsed, deregisters,
    /// and calls @p done. Needs the store; the caller decides how long it waits.
    void drain(std::function<void()> done);
    /// Stops to act and to take part, at once. The other nodes take this node's shards over as after a kill.
    void stop();

    /// Adds a function that is told each shard that this node comes to own, with its epoch.
    void addAcquiredListener(AcquiredListener listener);
    /// Adds a function that is told each shard that this node owns no more.
    void addLostListener(LostListener listener);
    /// Sets the function that says whether a shard that is handed over has nothing in flight. It is asked again and
    /// again after this node has stopped to act for the shard; none means always.
    void setReleaseCheck(ReleaseCheck check);

    /// The address of @p node's listener for daemons, from its row or else from the VM list; empty if unknown.
    std::string peerAddress(const NodeId &node) const;
    /// The address of @p node's listener for callers, from its row; empty if unknown.
    std::string httpAddress(const NodeId &node) const;
    /// True while drain() is under way.
    bool isDraining() const;

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
    struct Systems;
    std::unique_ptr<Systems> m_systems;
};

} // namespace fescueledge
