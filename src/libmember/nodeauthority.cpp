#include "fescueledge/nodeauthority.h"

#include "directorysystem_pvt.h"
#include "fescueledge/controlregister.h"
#include "fescueledge/controlstate.h"
#include "fescueledge/loop.h"
#include "fescueledge/vmdirectory.h"
#include "grantholder_pvt.h"
#include "grantservice_pvt.h"
#include "nodetable_pvt.h"
#include "shardsystem_pvt.h"
#include "shardtable_pvt.h"
#include "storelease_pvt.h"
#include "takeoversystem_pvt.h"

#include <algorithm>
#include <glog/logging.h>
#include <utility>

namespace fescueledge {

namespace {

constexpr Milliseconds drainPollInterval{50};

} // namespace

struct NodeAuthority::Systems
{
    Systems(Loop *loop, TableService *table, const VmDirectory *vms, PeerTransport *transport,
            ControlRegister *controlRegister, const NodeIdentity &identity, const LeaseTimings &timings,
            std::uint64_t seed);

    void pollDrain();
    void onFenced();
    TimePoint actUntil() const;
    bool mayAct() const;

    Loop *loop;
    const VmDirectory *vms;
    ControlRegister *control;
    NodeIdentity identity;
    LeaseTimings timings;
    std::vector<AcquiredListener> acquiredListeners;
    std::vector<LostListener> lostListeners;
    std::function<void()> onDrained;
    NodeTable nodes;
    ShardTable shards;
    StoreLease lease;
    GrantHolder grantHolder;
    GrantService grantService;
    ShardSystem shardSystem;
    DirectorySystem directory;
    TakeoverSystem takeover;
};

NodeAuthority::Systems::Systems(Loop *loop, TableService *table, const VmDirectory *vms, PeerTransport *transport,
                                ControlRegister *controlRegister, const NodeIdentity &identity,
                                const LeaseTimings &timings, std::uint64_t seed)
    : loop(loop)
    , vms(vms)
    , control(controlRegister)
    , identity(identity)
    , timings(timings)
    , nodes(vms, timings)
    , shards(identity.id,
             {[this](const ShardId &shard, Epoch epoch) {
                  for (const AcquiredListener &listener : acquiredListeners) {
                      listener(shard, epoch);
                  }
              },
              [this](const ShardId &shard) {
                  for (const LostListener &listener : lostListeners) {
                      listener(shard);
                  }
              }})
    , lease(loop, table, &nodes, vms, controlRegister, identity, timings, seed,
            {[this] {
                 directory.refresh();
             },
             [this] {
                 onFenced();
             }})
    , grantHolder(loop, transport, &lease, &nodes, controlRegister, identity.id, timings)
    , grantService(loop, transport, &lease, &nodes, controlRegister, timings)
    , shardSystem(loop, table, transport, vms, &lease, &nodes, &shards, identity.id, timings, seed + 1,
                  [this] {
                      return mayAct();
                  })
    , directory(loop, table, &nodes, timings,
                {[this](const ReadResult &rows) {
                     shardSystem.applyScan(rows);
                 },
                 [this] {
                     shardSystem.run();
                 }})
    , takeover(loop, table, transport, &lease, &nodes, identity.id, timings, seed + 2, [this] {
        directory.refresh();
    })
{
}

void NodeAuthority::Systems::onFenced()
{
    grantHolder.clear();
    shards.loseAll();
}

TimePoint NodeAuthority::Systems::actUntil() const
{
    if (!lease.isReady() || !control->isUpToDate()) {
        return TimePoint::min();
    }
    return std::max(lease.leaseUntil(), grantHolder.heldUntil());
}

bool NodeAuthority::Systems::mayAct() const
{
    return loop->now() < actUntil();
}

/// Advances a drain: waits until all shards are handed over, then until all grants given have expired, and then removes
/// the row.
void NodeAuthority::Systems::pollDrain()
{
    if (shardSystem.ownsNoShards()) {
        grantService.close();
        if (loop->now() > grantService.allExpiredAt()) {
            grantHolder.stop();
            takeover.stop();
            lease.deregister([this] {
                directory.stop();
                onDrained();
            });
            return;
        }
    }
    loop->postAfter(drainPollInterval, [this] {
        pollDrain();
    });
}

NodeAuthority::NodeAuthority(Loop *loop, TableService *table, const VmDirectory *vms, PeerTransport *transport,
                             ControlRegister *controlRegister, const NodeIdentity &identity,
                             const LeaseTimings &timings, std::uint64_t seed)
    : m_systems(std::make_unique<Systems>(loop, table, vms, transport, controlRegister, identity, timings, seed))
{
}

NodeAuthority::~NodeAuthority() = default;

void NodeAuthority::start()
{
    m_systems->lease.start();
    m_systems->directory.start();
    m_systems->grantHolder.start();
    m_systems->takeover.start();
}

void NodeAuthority::drain(std::function<void()> done)
{
    LOG(INFO) << "node_drain_started node=" << m_systems->identity.id;
    m_systems->onDrained = std::move(done);
    m_systems->shardSystem.setDraining();
    m_systems->lease.setDraining();
    m_systems->directory.refresh();
    m_systems->pollDrain();
}

void NodeAuthority::stop()
{
    m_systems->lease.stop();
    m_systems->directory.stop();
    m_systems->grantHolder.stop();
    m_systems->takeover.stop();
    m_systems->shards.loseAll();
}

void NodeAuthority::addAcquiredListener(AcquiredListener listener)
{
    m_systems->acquiredListeners.push_back(std::move(listener));
}

void NodeAuthority::addLostListener(LostListener listener)
{
    m_systems->lostListeners.push_back(std::move(listener));
}

void NodeAuthority::setReleaseCheck(ReleaseCheck check)
{
    m_systems->shardSystem.setReleaseCheck(std::move(check));
}

std::string NodeAuthority::peerAddress(const NodeId &node) const
{
    const NodeEntry *entry = m_systems->nodes.find(node);
    if (entry != nullptr) {
        return entry->row.identity.peerAddress;
    }
    const VmEntry *vm = m_systems->vms->find(node);
    return vm != nullptr && vm->kind == VmEntry::Kind::Entry ? vm->address : std::string();
}

std::string NodeAuthority::httpAddress(const NodeId &node) const
{
    const NodeEntry *entry = m_systems->nodes.find(node);
    return entry == nullptr ? std::string() : entry->row.identity.httpAddress;
}

bool NodeAuthority::isDraining() const
{
    return static_cast<bool>(m_systems->onDrained);
}

NodeId NodeAuthority::self() const
{
    return m_systems->identity.id;
}

Incarnation NodeAuthority::incarnation() const
{
    return m_systems->lease.incarnation();
}

TimePoint NodeAuthority::actUntil() const
{
    return m_systems->actUntil();
}

std::optional<Epoch> NodeAuthority::ownedEpoch(const ShardId &shard) const
{
    const ShardEntry *entry = m_systems->shards.find(shard);
    const bool isOwned = entry != nullptr && entry->state == ShardEntry::State::Owned;
    return isOwned && m_systems->mayAct() ? std::optional<Epoch>(entry->row.epoch) : std::nullopt;
}

std::optional<RowVersion> NodeAuthority::ownedRowVersion(const ShardId &shard) const
{
    if (!ownedEpoch(shard).has_value()) {
        return std::nullopt;
    }
    return m_systems->shards.find(shard)->version;
}

std::vector<ShardId> NodeAuthority::ownedShards() const
{
    std::vector<ShardId> owned;
    for (const auto &[shard, entry] : m_systems->shards.entries()) {
        if (entry.state != ShardEntry::State::NotOwned) {
            owned.push_back(shard);
        }
    }
    return owned;
}

NodeId NodeAuthority::ownerOf(const ShardId &shard) const
{
    const ShardEntry *entry = m_systems->shards.find(shard);
    return entry == nullptr ? NodeId() : entry->row.owner.node;
}

std::shared_ptr<const ControlState> NodeAuthority::control() const
{
    return m_systems->control->current();
}

std::vector<NodeId> NodeAuthority::liveNodes() const
{
    const TimePoint now = m_systems->loop->now();
    const Duration limit = m_systems->timings.withDrift(m_systems->timings.storeLease);
    std::vector<NodeId> live;
    for (const auto &[node, entry] : m_systems->nodes.entries()) {
        const bool isUp = !entry.row.fenced && now - entry.lastContact < limit;
        if (isUp || node == self()) {
            live.push_back(node);
        }
    }
    return live;
}

} // namespace fescueledge
