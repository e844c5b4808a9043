#include "fescueledge/testing/fakerackauthority.h"

#include "fescueledge/controlstate.h"
#include "fescueledge/loop.h"
#include "fescueledge/testing/simworld.h"

namespace fescueledge {

namespace {

constexpr Milliseconds leaseDuration{3000};
constexpr Milliseconds renewInterval{500};
constexpr Milliseconds driftAllowance{60};

} // namespace

FakeOwnership::FakeOwnership(SimWorld *world)
    : control(std::make_shared<ControlState>())
    , m_world(world)
{
}

void FakeOwnership::addShard(const ShardId &shard, const NodeId &owner)
{
    shards[shard] = Shard{owner, 1, 1};
}

void FakeOwnership::startTakeover()
{
    takeOver();
    m_world->after(renewInterval, [this] {
        startTakeover();
    });
}

void FakeOwnership::takeOver()
{
    std::vector<NodeId> candidates;
    for (auto it = nodes.begin(); it != nodes.end(); ++it) {
        if (!it->second->lapsed()) {
            candidates.push_back(it->first);
        }
    }
    std::size_t next = 0;
    for (auto it = shards.begin(); it != shards.end() && !candidates.empty(); ++it) {
        if (nodes.at(it->second.owner)->lapsed()) {
            it->second.owner = candidates[next++ % candidates.size()];
            ++it->second.epoch;
            ++it->second.version;
        }
    }
}

void FakeOwnership::accept(const ControlState &state)
{
    control = std::make_shared<ControlState>(state);
}

bool FakeOwnership::inForce() const
{
    for (auto it = nodes.begin(); it != nodes.end(); ++it) {
        if (!it->second->lapsed() && it->second->control()->version < control->version) {
            return false;
        }
    }
    return true;
}

FakeRackAuthority::FakeRackAuthority(FakeOwnership *ownership, Loop *loop, SimWorld *world, const NodeId &self)
    : m_ownership(ownership)
    , m_loop(loop)
    , m_world(world)
    , m_self(self)
    , m_control(ownership->control)
{
    m_ownership->nodes[self] = this;
}

void FakeRackAuthority::start()
{
    renew();
    m_loop->postAfter(renewInterval, [this] {
        start();
    });
}

void FakeRackAuthority::renew()
{
    if (cut) {
        return;
    }
    m_actUntil = m_loop->now() + leaseDuration;
    m_lapsesAt = m_world->now() + leaseDuration + driftAllowance;
    m_seen = m_ownership->shards;
    m_control = m_ownership->control;
}

NodeId FakeRackAuthority::self() const
{
    return m_self;
}

Incarnation FakeRackAuthority::incarnation() const
{
    return 1;
}

TimePoint FakeRackAuthority::actUntil() const
{
    return m_actUntil;
}

std::optional<Epoch> FakeRackAuthority::ownedEpoch(const ShardId &shard) const
{
    const auto it = m_seen.find(shard);
    if (it == m_seen.end() || it->second.owner != m_self || m_loop->now() >= m_actUntil) {
        return std::nullopt;
    }
    return it->second.epoch;
}

std::optional<RowVersion> FakeRackAuthority::ownedRowVersion(const ShardId &shard) const
{
    return ownedEpoch(shard).has_value() ? std::optional<RowVersion>(m_seen.at(shard).version) : std::nullopt;
}

std::vector<ShardId> FakeRackAuthority::ownedShards() const
{
    std::vector<ShardId> owned;
    for (auto it = m_seen.begin(); it != m_seen.end(); ++it) {
        if (it->second.owner == m_self) {
            owned.push_back(it->first);
        }
    }
    return owned;
}

NodeId FakeRackAuthority::ownerOf(const ShardId &shard) const
{
    const auto it = m_seen.find(shard);
    return it == m_seen.end() ? m_ownership->queueOwner : it->second.owner;
}

std::shared_ptr<const ControlState> FakeRackAuthority::control() const
{
    return m_control;
}

std::vector<NodeId> FakeRackAuthority::liveNodes() const
{
    std::vector<NodeId> live;
    for (auto it = m_ownership->nodes.begin(); it != m_ownership->nodes.end(); ++it) {
        live.push_back(it->first);
    }
    return live;
}

bool FakeRackAuthority::lapsed() const
{
    return m_world->now() >= m_lapsesAt;
}

} // namespace fescueledge
