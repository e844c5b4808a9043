#include "takeoversystem_pvt.h"

#include "fescueledge/loop.h"
#include "fescueledge/peertransport.h"
#include "fescueledge/tableservice.h"
#include "membermessages_pvt.h"
#include "nodetable_pvt.h"
#include "rendezvous_pvt.h"
#include "storelease_pvt.h"

#include <glog/logging.h>
#include <utility>

namespace fescueledge {

namespace {

constexpr Milliseconds tickInterval{250};
/// Each further node in the ranking waits this much longer before it fences a node, so that usually only one tries.
constexpr Milliseconds rankDelay{400};

} // namespace

TakeoverSystem::TakeoverSystem(Loop *loop, TableService *table, PeerTransport *transport, const StoreLease *lease,
                               const NodeTable *nodes, const NodeId &self, const LeaseTimings &timings,
                               std::uint64_t seed, std::function<void()> onFenced)
    : m_loop(loop)
    , m_table(table)
    , m_transport(transport)
    , m_lease(lease)
    , m_nodes(nodes)
    , m_self(self)
    , m_timings(timings)
    , m_random(seed)
    , m_onFenced(std::move(onFenced))
{
}

void TakeoverSystem::start()
{
    m_running = true;
    tick();
}

void TakeoverSystem::stop()
{
    m_running = false;
}

void TakeoverSystem::tick()
{
    if (!m_running) {
        return;
    }
    if (m_lease->isReady() && m_nodes->isFresh(m_loop->now(), 2 * m_timings.directoryInterval)) {
        run();
    }
    m_loop->postAfter(tickInterval, [this] {
        tick();
    });
}

void TakeoverSystem::run()
{
    for (const auto &[node, entry] : m_nodes->entries()) {
        if (node == m_self) {
            continue;
        }
        if (entry.row.fenced) {
            m_attempts.erase(node);
            removeIfVmRemoved(entry);
        } else if (isDueForFencing(entry)) {
            Attempt &attempt = attemptFor(entry);
            requestRefusals(entry, attempt);
            fenceIfMajorityLost(entry, &attempt);
        }
    }
}

bool TakeoverSystem::isDueForFencing(const NodeEntry &entry) const
{
    const Duration silence = m_loop->now() - entry.versionSeenAt;
    return silence > m_timings.withDrift(m_timings.storeLease) + rankFor(entry.row.identity.id) * rankDelay;
}

/// Returns the rank of this node, 0 being the first, among the nodes that could fence @p node.
int TakeoverSystem::rankFor(const NodeId &node) const
{
    const std::uint64_t own = rendezvousWeight(node, m_self);
    int rank = 0;
    for (const auto &[other, entry] : m_nodes->entries()) {
        const bool isRenewing = m_loop->now() - entry.versionSeenAt < m_timings.storeLease;
        const bool isRival = other != m_self && other != node && !entry.row.fenced && isRenewing;
        if (isRival && rendezvousWeight(node, other) > own) {
            ++rank;
        }
    }
    return rank;
}

TakeoverSystem::Attempt &TakeoverSystem::attemptFor(const NodeEntry &entry)
{
    Attempt &attempt = m_attempts[entry.row.identity.id];
    if (attempt.version != entry.version) {
        attempt = Attempt();
        attempt.version = entry.version;
    }
    return attempt;
}

void TakeoverSystem::requestRefusals(const NodeEntry &entry, const Attempt &attempt)
{
    const Grantor holder = entry.row.grantor();
    for (const Grantor &grantor : entry.row.group) {
        if (grantor == holder || attempt.refused.count(grantor) != 0) {
            continue;
        }
        const RefusalRequest request{holder, entry.version, grantor.incarnation};
        m_transport->call(grantor.node, PeerMessage{RefusalRequest::kind, request}, m_timings.peerTimeout,
                          [this, node = holder.node, version = entry.version, grantor](const PeerResult &result) {
                              onRefusal(node, version, grantor, result);
                          });
    }
}

void TakeoverSystem::onRefusal(const NodeId &node, RowVersion version, const Grantor &grantor, const PeerResult &result)
{
    if (!result.answered || !result.reply.body.get<RefusalReply>().refused) {
        return;
    }
    const NodeEntry *entry = m_nodes->find(node);
    const auto it = m_attempts.find(node);
    if (entry == nullptr || entry->version != version || it == m_attempts.end() || it->second.version != version) {
        return;
    }
    it->second.refused.insert(grantor);
    fenceIfMajorityLost(*entry, &it->second);
}

void TakeoverSystem::fenceIfMajorityLost(const NodeEntry &entry, Attempt *attempt)
{
    const TimePoint now = m_loop->now();
    const auto isExpired = [this, attempt, now](const Grantor &grantor) {
        return attempt->refused.count(grantor) != 0 || m_nodes->haveGrantsExpired(grantor, now);
    };
    const bool mayFence =
        hasLostMajority(entry.row.group, entry.row.grantor(), isExpired) || m_nodes->isVmRemoved(entry);
    if (mayFence && !attempt->committing) {
        attempt->committing = true;
        fence(entry);
    }
}

void TakeoverSystem::fence(const NodeEntry &entry)
{
    const NodeId node = entry.row.identity.id;
    NodeRow row = entry.row;
    row.fenced = true;
    Transaction transaction;
    transaction.writeId = m_random.uniqueId();
    transaction.conditions = {{nodeKey(node), entry.version}};
    transaction.puts = {{nodeKey(node), encodeNodeRow(row)}};
    const Incarnation incarnation = row.incarnation;
    m_table->commit(transaction, [this, node, incarnation](const CommitResult &result) {
        const auto it = m_attempts.find(node);
        if (it != m_attempts.end()) {
            it->second.committing = false;
        }
        if (result.status == CommitStatus::Committed) {
            LOG(INFO) << "node_taken_over node=" << node << " incarnation=" << incarnation << " by=" << m_self;
            m_onFenced();
        }
    });
}

/// Deletes the row of a fenced node once its VM counts as removed. Only the first-ranked node does so.
void TakeoverSystem::removeIfVmRemoved(const NodeEntry &entry)
{
    if (!m_nodes->isVmRemoved(entry) || rankFor(entry.row.identity.id) != 0) {
        return;
    }
    Transaction transaction;
    transaction.writeId = m_random.uniqueId();
    transaction.conditions = {{nodeKey(entry.row.identity.id), entry.version}};
    transaction.removals = {nodeKey(entry.row.identity.id)};
    m_table->commit(transaction, [](const CommitResult &) {});
}

} // namespace fescueledge
