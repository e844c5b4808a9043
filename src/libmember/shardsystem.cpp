#include "shardsystem_pvt.h"

#include "fescueledge/loop.h"
#include "fescueledge/peertransport.h"
#include "fescueledge/tableservice.h"
#include "fescueledge/vmdirectory.h"
#include "membermessages_pvt.h"
#include "nodetable_pvt.h"
#include "storelease_pvt.h"

#include <algorithm>
#include <glog/logging.h>
#include <utility>

namespace fescueledge {

namespace {

constexpr std::size_t maxConcurrentMoves = 2;
constexpr std::size_t maxConcurrentMovesDraining = 8;
constexpr Milliseconds movePollInterval{20};
constexpr Milliseconds moveRetryDelay{500};
constexpr Milliseconds moveTimeout{30000};
/// Each further node in a shard's ranking waits this much longer before it claims the shard while it stays free.
constexpr Milliseconds claimRankDelay{3000};

} // namespace

ShardSystem::ShardSystem(Loop *loop, TableService *table, PeerTransport *transport, const VmDirectory *vms,
                         const StoreLease *lease, const NodeTable *nodes, ShardTable *shards, const NodeId &self,
                         const LeaseTimings &timings, std::uint64_t seed, std::function<bool()> mayAct)
    : m_loop(loop)
    , m_table(table)
    , m_transport(transport)
    , m_vms(vms)
    , m_lease(lease)
    , m_nodes(nodes)
    , m_shards(shards)
    , m_self(self)
    , m_timings(timings)
    , m_random(seed)
    , m_mayAct(std::move(mayAct))
    , m_assigner(nodes, timings)
{
    m_transport->setReceiver(
        ShardHandedOver::kind,
        [this](const NodeId &, const PeerMessage &message, const PeerTransport::Responder &respond) {
            onHandedOver(message.body.get<ShardHandedOver>().shard);
            respond(PeerMessage{ShardHandedOver::kind, nlohmann::json::object()});
        });
}

void ShardSystem::setReleaseCheck(std::function<bool(const ShardId &)> check)
{
    m_releaseCheck = std::move(check);
}

void ShardSystem::setDraining()
{
    m_draining = true;
}

void ShardSystem::applyScan(const ReadResult &rows)
{
    const std::size_t prefix = std::string(shardPrefix).size();
    for (const Row &row : rows.rows) {
        applyRow(row.key.substr(prefix), decodeShardRow(row), row.version);
    }
}

void ShardSystem::run()
{
    addKnownShards();
    if (!m_mayAct()) {
        return;
    }
    for (auto &[shard, entry] : m_shards->entries()) {
        if (entry.state == ShardEntry::State::NotOwned) {
            claimIfDue(shard, &entry);
        } else if (entry.state == ShardEntry::State::Owned) {
            moveIfNeeded(shard, entry);
        }
    }
}

bool ShardSystem::ownsNoShards() const
{
    const std::map<ShardId, ShardEntry> &entries = m_shards->entries();
    return std::all_of(entries.begin(), entries.end(), [](const std::pair<const ShardId, ShardEntry> &it) {
        return it.second.state == ShardEntry::State::NotOwned;
    });
}

void ShardSystem::addKnownShards()
{
    for (int i = 0; i < queuePartitions; ++i) {
        m_shards->add(queueShard(i));
    }
    for (const VmEntry &vm : m_vms->entries()) {
        if (vm.kind == VmEntry::Kind::Worker) {
            m_shards->add(rackShard(vm.dataCentre, vm.rack));
        }
    }
}

void ShardSystem::claimIfDue(const ShardId &shard, ShardEntry *entry)
{
    if (m_draining || !isFree(*entry)) {
        entry->freeSince.reset();
        return;
    }
    const TimePoint now = m_loop->now();
    if (!entry->freeSince.has_value()) {
        entry->freeSince = now;
    }
    const std::vector<NodeId> ranking = m_assigner.ranking(shard, now);
    const auto it = std::find(ranking.begin(), ranking.end(), m_self);
    const auto rank = it - ranking.begin();
    if (it != ranking.end() && now - *entry->freeSince >= rank * claimRankDelay) {
        claim(shard, *entry);
    }
}

bool ShardSystem::isFree(const ShardEntry &entry) const
{
    if (entry.version == 0 || entry.row.owner.node.empty()) {
        return true;
    }
    const NodeEntry *owner = m_nodes->find(entry.row.owner.node);
    if (owner == nullptr || owner->row.incarnation > entry.row.owner.incarnation) {
        return true;
    }
    return owner->row.incarnation == entry.row.owner.incarnation && owner->row.fenced;
}

void ShardSystem::claim(const ShardId &shard, const ShardEntry &entry)
{
    const Incarnation incarnation = m_lease->incarnation();
    const ShardRow row{{m_self, incarnation}, entry.row.epoch + 1};
    m_table->commit(makeWrite(shard, entry.version, row), [this, shard, row, incarnation](const CommitResult &result) {
        const bool isCurrent = incarnation == m_lease->incarnation();
        if (result.status == CommitStatus::Committed && isCurrent) {
            applyRow(shard, row, result.version);
        }
    });
}

void ShardSystem::moveIfNeeded(const ShardId &shard, const ShardEntry &entry)
{
    const std::size_t limit = m_draining ? maxConcurrentMovesDraining : maxConcurrentMoves;
    if (m_moves.size() >= limit || m_moves.count(shard) != 0) {
        return;
    }
    const NodeId target = targetFor(shard);
    const bool isWanted = m_draining || (target != m_self && isPastJoinDelay(target));
    if (!isWanted) {
        return;
    }
    m_moves[shard] = Move{m_loop->now(), false};
    LOG(INFO) << "shard_release_started shard=" << shard << " node=" << m_self << " epoch=" << entry.row.epoch
              << " to=" << target;
    m_shards->startRelease(shard);
    pollMove(shard);
}

bool ShardSystem::isPastJoinDelay(const NodeId &node) const
{
    const NodeEntry *entry = m_nodes->find(node);
    return entry != nullptr && m_loop->now() - entry->incarnationSeenAt > m_timings.joinDelay;
}

/// Returns the node that should own @p shard. While draining, this is another node than this one, or none.
NodeId ShardSystem::targetFor(const ShardId &shard) const
{
    for (const NodeId &node : m_assigner.ranking(shard, m_loop->now())) {
        if (!m_draining || node != m_self) {
            return node;
        }
    }
    return m_draining ? NodeId() : m_self;
}

void ShardSystem::pollMove(const ShardId &shard)
{
    const ShardEntry *entry = m_shards->find(shard);
    if (entry->state != ShardEntry::State::Releasing) {
        m_moves.erase(shard);
        return;
    }
    const Move &move = m_moves.at(shard);
    const bool isReleased = !m_releaseCheck || m_releaseCheck(shard);
    if (isReleased) {
        release(shard, *entry);
        return;
    }
    if (!m_draining && !move.isOutcomeUnknown && m_loop->now() - move.startedAt > moveTimeout) {
        abandonMove(shard);
        return;
    }
    m_loop->postAfter(movePollInterval, [this, shard] {
        pollMove(shard);
    });
}

void ShardSystem::abandonMove(const ShardId &shard)
{
    m_moves.erase(shard);
    m_shards->cancelRelease(shard);
}

void ShardSystem::release(const ShardId &shard, const ShardEntry &entry)
{
    const NodeEntry *target = m_nodes->find(targetFor(shard));
    const Grantor owner = target == nullptr ? Grantor() : target->row.grantor();
    const ShardRow row{owner, entry.row.epoch + 1};
    m_table->commit(makeWrite(shard, entry.version, row), [this, shard, row](const CommitResult &result) {
        onReleased(shard, row, result);
    });
}

void ShardSystem::onReleased(const ShardId &shard, const ShardRow &row, const CommitResult &result)
{
    const auto it = m_moves.find(shard);
    if (result.status == CommitStatus::Committed) {
        m_moves.erase(shard);
        applyRow(shard, row, result.version);
        if (!row.owner.node.empty()) {
            m_transport->call(row.owner.node, PeerMessage{ShardHandedOver::kind, ShardHandedOver{shard}},
                              m_timings.peerTimeout, [](const PeerResult &) {});
        }
        return;
    }
    if (it == m_moves.end()) {
        return;
    }
    if (result.status == CommitStatus::Unavailable && !it->second.isOutcomeUnknown) {
        abandonMove(shard);
        return;
    }
    // The write may have been committed. Until the shard's row shows the outcome, this node does not act for the shard.
    it->second.isOutcomeUnknown = true;
    m_loop->postAfter(moveRetryDelay, [this, shard] {
        if (m_moves.count(shard) != 0) {
            pollMove(shard);
        }
    });
}

void ShardSystem::applyRow(const ShardId &shard, const ShardRow &row, RowVersion version)
{
    m_shards->update(shard, row, version, m_lease->incarnation(), m_mayAct());
}

/// Reads the row of a shard that another node reports as handed over to this node.
void ShardSystem::onHandedOver(const ShardId &shard)
{
    m_table->read({shardKey(shard)}, [this, shard](const ReadResult &result) {
        const Row *row = result.find(shardKey(shard));
        if (row == nullptr) {
            return;
        }
        // Rows of other owners are applied only from scans, which read shards before nodes.
        const ShardRow decoded = decodeShardRow(*row);
        if (decoded.owner == Grantor{m_self, m_lease->incarnation()}) {
            applyRow(shard, decoded, row->version);
        }
    });
}

Transaction ShardSystem::makeWrite(const ShardId &shard, RowVersion expected, const ShardRow &row)
{
    Transaction transaction;
    transaction.writeId = m_random.uniqueId();
    transaction.conditions = {{shardKey(shard), expected}};
    transaction.puts = {{shardKey(shard), encodeShardRow(row)}};
    return transaction;
}

} // namespace fescueledge
