#include "inforcetracker_pvt.h"

#include "controlmessages_pvt.h"
#include "fescueledge/loop.h"
#include "fescueledge/tableservice.h"

#include <algorithm>
#include <utility>

namespace fescueledge {

InForceTracker::InForceTracker(Loop *loop, TableService *table, const VmDirectory *vms, PeerTransport *transport,
                               const LeaseTimings &timings, std::function<std::string()> rowValue)
    : m_loop(loop)
    , m_table(table)
    , m_transport(transport)
    , m_timings(timings)
    , m_rowValue(std::move(rowValue))
    , m_nodes(vms, timings)
{
}

void InForceTracker::await(ControlVersion version, ControlRegister::OutcomeHandler handler)
{
    const TimePoint now = m_loop->now();
    m_waits.push_back(Wait{version, now, now + m_timings.inForceTimeout, {}, std::move(handler)});
    if (!m_ticking) {
        m_ticking = true;
        tick();
    }
}

void InForceTracker::tick()
{
    if (m_waits.empty()) {
        m_ticking = false;
        return;
    }
    completeWaits();
    scan();
    m_loop->postAfter(m_timings.controlPollInterval, [this] {
        tick();
    });
}

void InForceTracker::scan()
{
    if (m_scanning) {
        return;
    }
    m_scanning = true;
    const TimePoint sentAt = m_loop->now();
    m_table->scan(nodePrefix, [this, sentAt](const ReadResult &result) {
        m_scanning = false;
        m_nodes.update(result, sentAt, m_loop->now());
        requestAcknowledgements();
        completeWaits();
    });
}

void InForceTracker::requestAcknowledgements()
{
    std::set<NodeId> asked;
    for (const Wait &wait : m_waits) {
        for (const auto &[node, entry] : m_nodes.entries()) {
            if (!entry.row.fenced && wait.acknowledged.count(entry.row.grantor()) == 0) {
                asked.insert(node);
            }
        }
    }
    for (const NodeId &node : asked) {
        m_transport->call(node, PeerMessage{ApplyRequest::kind, ApplyRequest{m_rowValue()}}, m_timings.peerTimeout,
                          [this, node](const PeerResult &result) {
                              onApplyReply(node, result);
                          });
    }
}

void InForceTracker::onApplyReply(const NodeId &node, const PeerResult &result)
{
    if (!result.answered) {
        return;
    }
    const ApplyReply reply = result.reply.body.get<ApplyReply>();
    for (Wait &wait : m_waits) {
        if (reply.incarnation != 0 && reply.version >= wait.version) {
            wait.acknowledged.emplace(Grantor{node, reply.incarnation}, m_loop->now());
        }
    }
    completeWaits();
}

void InForceTracker::completeWaits()
{
    std::vector<std::pair<ControlRegister::OutcomeHandler, ControlOutcome>> finished;
    for (auto it = m_waits.begin(); it != m_waits.end();) {
        ControlOutcome outcome;
        outcome.version = it->version;
        outcome.waitingFor = waitingFor(*it);
        const bool isKnown = m_nodes.lastScan().has_value() && *m_nodes.lastScan() >= it->committedBefore;
        const bool isInForce = isKnown && outcome.waitingFor.empty();
        outcome.status = isInForce ? ControlOutcome::Status::InForce : ControlOutcome::Status::Waiting;
        if (!isInForce && m_loop->now() < it->deadline) {
            ++it;
            continue;
        }
        finished.emplace_back(std::move(it->handler), std::move(outcome));
        it = m_waits.erase(it);
    }
    for (const auto &[handler, outcome] : finished) {
        handler(outcome);
    }
}

std::vector<NodeId> InForceTracker::waitingFor(const Wait &wait) const
{
    std::vector<NodeId> nodes;
    for (const auto &[node, entry] : m_nodes.entries()) {
        if (!cannotActOnOlder(wait, entry)) {
            nodes.push_back(node);
        }
    }
    return nodes;
}

bool InForceTracker::cannotActOnOlder(const Wait &wait, const NodeEntry &entry) const
{
    // A node without a group has to read the control state before it may act.
    const bool mayNotAct = entry.row.fenced || entry.row.group.empty();
    const bool acknowledged = wait.acknowledged.count(entry.row.grantor()) != 0;
    return mayNotAct || acknowledged || m_nodes.isVmRemoved(entry) || hasAuthorityExpired(wait, entry);
}

bool InForceTracker::hasAuthorityExpired(const Wait &wait, const NodeEntry &entry) const
{
    const TimePoint now = m_loop->now();
    if (now - wait.committedBefore <= m_timings.withDrift(m_timings.storeLease)) {
        return false;
    }
    return hasLostMajority(entry.row.group, entry.row.grantor(), [this, &wait, now](const Grantor &grantor) {
        const auto it = wait.acknowledged.find(grantor);
        const bool hasAcknowledged = it != wait.acknowledged.end();
        return (hasAcknowledged && now - it->second > m_timings.withDrift(m_timings.grant))
            || m_nodes.haveGrantsExpired(grantor, now);
    });
}

} // namespace fescueledge
