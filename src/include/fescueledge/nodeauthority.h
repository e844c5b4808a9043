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

/// This node's membership and its authority to act: a facade of the systems in libmember.
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

    /// Registers this node and joins the membership protocol. Listeners must be added before.
    void start();
    /// Hands the owned shards to other nodes, waits until the grants given by this node have expired, deregisters,
    /// and calls @p done. Needs the store and has no timeout of its own.
    void drain(std::function<void()> done);
    /// Stops acting and leaves the membership protocol immediately. The other nodes take over this node's shards as if
    /// it had crashed.
    void stop();

    /// Adds a function that is called with each shard that this node acquires, and its epoch.
    void addAcquiredListener(AcquiredListener listener);
    /// Adds a function that is called with each shard that this node no longer owns.
    void addLostListener(LostListener listener);
    /// Sets the function that returns true when a shard being handed over has nothing in flight. It is polled after
    /// this node has stopped acting for the shard. Without a function, shards are handed over immediately.
    void setReleaseCheck(ReleaseCheck check);

    /// Address of the peer listener of @p node, from its row or else from the VM list; empty if unknown.
    std::string peerAddress(const NodeId &node) const;
    /// Address of the caller listener of @p node, from its row; empty if unknown.
    std::string httpAddress(const NodeId &node) const;
    /// True while drain() is in progress.
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
