#include "storelease_pvt.h"

#include "fescueledge/controlregister.h"
#include "fescueledge/controlstate.h"
#include "fescueledge/loop.h"
#include "fescueledge/tableservice.h"
#include "fescueledge/vmdirectory.h"
#include "nodetable_pvt.h"
#include "rendezvous_pvt.h"

#include <algorithm>
#include <glog/logging.h>
#include <utility>

namespace fescueledge {

namespace {

constexpr Milliseconds retryDelay{250};
constexpr Milliseconds followUpDelay{20};

} // namespace

StoreLease::StoreLease(Loop *loop, TableService *table, const NodeTable *nodes, const VmDirectory *vms,
                       ControlRegister *controlRegister, const NodeIdentity &identity, const LeaseTimings &timings,
                       std::uint64_t seed, Listener listener)
    : m_loop(loop)
    , m_table(table)
    , m_nodes(nodes)
    , m_vms(vms)
    , m_control(controlRegister)
    , m_identity(identity)
    , m_timings(timings)
    , m_random(seed)
    , m_listener(std::move(listener))
{
}

void StoreLease::start()
{
    m_running = true;
    schedule(Duration::zero());
}

void StoreLease::stop()
{
    m_running = false;
    m_ready = false;
}

void StoreLease::setDraining()
{
    m_draining = true;
    schedule(Duration::zero());
}

void StoreLease::deregister(std::function<void()> done)
{
    m_ready = false;
    m_onDeregistered = std::move(done);
    schedule(Duration::zero());
}

Incarnation StoreLease::incarnation() const
{
    return m_incarnation;
}

RowVersion StoreLease::rowVersion() const
{
    return m_rowVersion;
}

bool StoreLease::isReady() const
{
    return m_ready;
}

TimePoint StoreLease::leaseUntil() const
{
    return m_leaseUntil;
}

const std::vector<GrantorGroup> &StoreLease::groups() const
{
    return m_groups;
}

std::uint64_t StoreLease::groupsRevision() const
{
    return m_groupsRevision;
}

/// Schedules the next step after @p delay, with jitter. Replaces the step scheduled before.
void StoreLease::schedule(Duration delay)
{
    const double jitter = 0.9 + 0.2 * m_random.unit();
    const std::uint64_t timer = ++m_timerId;
    const Duration jittered(static_cast<Duration::rep>(static_cast<double>(delay.count()) * jitter));
    m_loop->postAfter(jittered, [this, timer] {
        if (timer == m_timerId) {
            step();
        }
    });
}

void StoreLease::step()
{
    if (!m_running) {
        return;
    }
    schedule(m_timings.renewInterval);
    m_wasListed = m_wasListed || isSelfListed();
    if (m_requestInFlight) {
        return;
    }
    if (m_incarnation == 0) {
        m_onDeregistered ? finishDeregistration() : registerSelf();
    } else if (m_outcomeUnknown) {
        resolvePendingWrites();
    } else if (m_onDeregistered) {
        removeRow();
    } else if (canRenew()) {
        renew();
    }
}

void StoreLease::registerSelf()
{
    m_requestInFlight = true;
    m_table->read({nodeKey(m_identity.id)}, [this](const ReadResult &result) {
        onOwnRowRead(result);
    });
}

void StoreLease::onOwnRowRead(const ReadResult &result)
{
    m_requestInFlight = false;
    if (!result.available) {
        if (m_control->current()->version == 0) {
            m_control->fetchFromPeers();
        }
        return;
    }
    const Row *row = result.find(nodeKey(m_identity.id));
    const bool isMine = row != nullptr && m_registrationWriteIds.count(row->writeId) != 0;
    if (isMine) {
        adoptIncarnation(row->version);
    } else {
        commitRegistration(row == nullptr ? 0 : row->version);
    }
}

void StoreLease::commitRegistration(RowVersion expected)
{
    Transaction transaction;
    transaction.writeId = m_random.uniqueId();
    transaction.conditions = {{nodeKey(m_identity.id), expected}};
    transaction.puts = {{nodeKey(m_identity.id), encodeNodeRow(makeRow({}))}};
    m_registrationWriteIds.insert(transaction.writeId);
    m_requestInFlight = true;
    m_table->commit(transaction, [this](const CommitResult &result) {
        m_requestInFlight = false;
        if (result.status == CommitStatus::Committed) {
            adoptIncarnation(result.version);
        } else {
            schedule(retryDelay);
        }
    });
}

void StoreLease::adoptIncarnation(RowVersion version)
{
    m_registrationWriteIds.clear();
    m_incarnation = version;
    m_rowVersion = version;
    m_registeredAt = m_loop->now();
    m_control->setIncarnation(m_incarnation);
    LOG(INFO) << "node_registered node=" << m_identity.id << " incarnation=" << m_incarnation;
    m_listener.onRegistered();
    schedule(followUpDelay);
}

bool StoreLease::canRenew() const
{
    const bool isFirst = m_groups.empty();
    return !isFirst || (m_nodes->lastScan().has_value() && *m_nodes->lastScan() >= m_registeredAt);
}

void StoreLease::renew()
{
    const PendingWrite write{m_random.uniqueId(), m_loop->now(), nextGroup()};
    Transaction transaction;
    transaction.writeId = write.writeId;
    transaction.conditions = {{nodeKey(m_identity.id), m_rowVersion}};
    transaction.puts = {{nodeKey(m_identity.id), encodeNodeRow(makeRow(write.group))}};
    requireGroup(write.group);
    m_pendingWrites.push_back(write);
    m_requestInFlight = true;
    m_table->commit(transaction, [this, id = write.writeId](const CommitResult &result) {
        onRenewed(id, result);
    });
}

void StoreLease::onRenewed(const std::string &writeId, const CommitResult &result)
{
    m_requestInFlight = false;
    if (result.status == CommitStatus::Committed) {
        const auto it =
            std::find_if(m_pendingWrites.begin(), m_pendingWrites.end(), [&writeId](const PendingWrite &write) {
                return write.writeId == writeId;
            });
        onWriteCommitted(PendingWrite(*it), result.version);
        return;
    }
    if (result.status == CommitStatus::Unavailable) {
        dropPendingWrite(writeId);
        return;
    }
    m_outcomeUnknown = true;
    if (result.status == CommitStatus::Conflict) {
        resolvePendingWrites();
    }
}

/// Reads the row back to find out which of the writes without an answer was committed.
void StoreLease::resolvePendingWrites()
{
    m_requestInFlight = true;
    m_table->read({nodeKey(m_identity.id)}, [this](const ReadResult &result) {
        onResolved(result);
    });
}

void StoreLease::onResolved(const ReadResult &result)
{
    m_requestInFlight = false;
    if (!result.available) {
        return;
    }
    const Row *row = result.find(nodeKey(m_identity.id));
    if (row == nullptr) {
        m_onDeregistered ? finishDeregistration() : loseIncarnation();
        return;
    }
    if (row->version == m_rowVersion) {
        m_outcomeUnknown = false;
        schedule(followUpDelay);
        return;
    }
    const auto it = std::find_if(m_pendingWrites.begin(), m_pendingWrites.end(), [row](const PendingWrite &write) {
        return write.writeId == row->writeId;
    });
    if (it == m_pendingWrites.end()) {
        loseIncarnation();
        return;
    }
    onWriteCommitted(PendingWrite(*it), row->version);
}

void StoreLease::onWriteCommitted(const PendingWrite &write, RowVersion version)
{
    m_outcomeUnknown = false;
    m_rowVersion = version;
    // All pending writes are conditioned on an older version of the row, so none of them can be committed any more.
    m_pendingWrites.clear();
    m_requestInFlight = true;
    m_control->refresh([this, write](bool loaded) {
        m_requestInFlight = false;
        onControlRead(write, loaded);
    });
}

void StoreLease::onControlRead(const PendingWrite &write, bool loaded)
{
    if (!loaded || m_onDeregistered || !m_running) {
        return;
    }
    m_leaseUntil = write.sentAt + m_timings.storeLease;
    setGroups({write.group});
    m_ready = true;
}

void StoreLease::loseIncarnation()
{
    LOG(WARNING) << "node_fenced node=" << m_identity.id << " incarnation=" << m_incarnation;
    m_incarnation = 0;
    m_rowVersion = 0;
    m_leaseUntil = TimePoint::min();
    m_ready = false;
    m_outcomeUnknown = false;
    m_pendingWrites.clear();
    setGroups({});
    m_control->setIncarnation(0);
    m_listener.onFenced();
    schedule(followUpDelay);
}

void StoreLease::removeRow()
{
    Transaction transaction;
    transaction.writeId = m_random.uniqueId();
    transaction.conditions = {{nodeKey(m_identity.id), m_rowVersion}};
    transaction.removals = {nodeKey(m_identity.id)};
    m_requestInFlight = true;
    m_table->commit(transaction, [this](const CommitResult &result) {
        m_requestInFlight = false;
        if (result.status == CommitStatus::Committed) {
            finishDeregistration();
        } else {
            m_outcomeUnknown = true;
            schedule(retryDelay);
        }
    });
}

void StoreLease::finishDeregistration()
{
    LOG(INFO) << "node_deregistered node=" << m_identity.id << " incarnation=" << m_incarnation;
    stop();
    const std::function<void()> done = std::move(m_onDeregistered);
    m_onDeregistered = nullptr;
    done();
}

void StoreLease::requireGroup(const GrantorGroup &group)
{
    if (m_groups.empty() || !(m_groups.back() == group)) {
        m_groups.push_back(group);
        ++m_groupsRevision;
    }
}

void StoreLease::setGroups(std::vector<GrantorGroup> groups)
{
    m_groups = std::move(groups);
    ++m_groupsRevision;
}

void StoreLease::dropPendingWrite(const std::string &writeId)
{
    m_pendingWrites.erase(std::remove_if(m_pendingWrites.begin(), m_pendingWrites.end(),
                                         [&writeId](const PendingWrite &write) {
                                             return write.writeId == writeId;
                                         }),
                          m_pendingWrites.end());
}

GrantorGroup StoreLease::nextGroup() const
{
    const bool changing = m_groups.size() > 1;
    const bool fresh = m_nodes->isFresh(m_loop->now(), 2 * m_timings.directoryInterval);
    if (!m_groups.empty() && (changing || !fresh)) {
        return m_groups.back();
    }
    return proposeGroup();
}

GrantorGroup StoreLease::proposeGroup() const
{
    std::vector<std::pair<std::uint64_t, Grantor>> ranked;
    for (const auto &[node, entry] : m_nodes->entries()) {
        const bool silent = m_loop->now() - entry.lastContact > m_timings.silenceTimeout;
        if (node != m_identity.id && !entry.row.fenced && !entry.row.draining && !silent) {
            ranked.emplace_back(rendezvousWeight(m_identity.id, node), entry.row.grantor());
        }
    }
    std::sort(ranked.rbegin(), ranked.rend());
    GrantorGroup group{{m_identity.id, m_incarnation}};
    for (const auto &[rank, grantor] : ranked) {
        if (group.size() < maxGroupSize) {
            group.push_back(grantor);
        }
    }
    std::sort(group.begin(), group.end());
    return group;
}

bool StoreLease::isSelfListed() const
{
    const VmEntry *vm = m_vms->find(m_identity.id);
    return vm != nullptr && vm->address == m_identity.peerAddress;
}

NodeRow StoreLease::makeRow(const GrantorGroup &group) const
{
    NodeRow row;
    row.identity = m_identity;
    row.incarnation = m_incarnation;
    row.group = group;
    row.listed = m_wasListed;
    row.draining = m_draining;
    return row;
}

} // namespace fescueledge
