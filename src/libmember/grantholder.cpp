#include "grantholder_pvt.h"

#include "fescueledge/controlregister.h"
#include "fescueledge/controlstate.h"
#include "fescueledge/loop.h"
#include "fescueledge/peertransport.h"
#include "membermessages_pvt.h"
#include "nodetable_pvt.h"
#include "storelease_pvt.h"

#include <algorithm>
#include <set>

namespace fescueledge {

GrantHolder::GrantHolder(Loop *loop, PeerTransport *transport, const StoreLease *lease, NodeTable *nodes,
                         ControlRegister *controlRegister, const NodeId &self, const LeaseTimings &timings)
    : m_loop(loop)
    , m_transport(transport)
    , m_lease(lease)
    , m_nodes(nodes)
    , m_control(controlRegister)
    , m_self(self)
    , m_timings(timings)
{
}

void GrantHolder::start()
{
    m_running = true;
    tick();
}

void GrantHolder::stop()
{
    m_running = false;
}

void GrantHolder::clear()
{
    m_grants.clear();
    m_isCached = false;
}

void GrantHolder::tick()
{
    if (!m_running) {
        return;
    }
    std::set<Grantor> asked;
    for (const GrantorGroup &group : m_lease->groups()) {
        asked.insert(group.begin(), group.end());
    }
    for (const Grantor &grantor : asked) {
        if (grantor.node != m_self) {
            request(grantor);
        }
    }
    m_loop->postAfter(m_timings.grantInterval, [this] {
        tick();
    });
}

void GrantHolder::request(const Grantor &grantor)
{
    GrantRequest message;
    message.incarnation = m_lease->incarnation();
    message.rowVersion = m_lease->rowVersion();
    message.controlVersion = m_control->current()->version;
    message.controlDigest = m_control->currentDigest();
    const TimePoint sentAt = m_loop->now();
    const Incarnation self = message.incarnation;
    m_transport->call(grantor.node, PeerMessage{GrantRequest::kind, message}, m_timings.peerTimeout,
                      [this, grantor, self, sentAt](const PeerResult &result) {
                          onReply(grantor, self, sentAt, result);
                      });
}

void GrantHolder::onReply(const Grantor &grantor, Incarnation self, TimePoint sentAt, const PeerResult &result)
{
    if (!result.answered) {
        return;
    }
    const GrantReply reply = result.reply.body.get<GrantReply>();
    m_nodes->recordContact(grantor.node, m_loop->now());
    m_control->observeVersion(reply.controlVersion, reply.controlDigest, grantor.node);
    if (!reply.granted || reply.incarnation != grantor.incarnation || self != m_lease->incarnation()) {
        return;
    }
    TimePoint &until = m_grants[grantor];
    until = std::max(until, sentAt + m_timings.grant);
    m_isCached = false;
}

TimePoint GrantHolder::heldUntil() const
{
    if (!m_isCached || m_cachedRevision != m_lease->groupsRevision()) {
        m_heldUntil = computeHeldUntil();
        m_cachedRevision = m_lease->groupsRevision();
        m_isCached = true;
    }
    return m_heldUntil;
}

TimePoint GrantHolder::computeHeldUntil() const
{
    if (m_lease->groups().empty()) {
        return TimePoint::min();
    }
    TimePoint until = TimePoint::max();
    for (const GrantorGroup &group : m_lease->groups()) {
        until = std::min(until, heldUntil(group));
    }
    return until;
}

TimePoint GrantHolder::heldUntil(const GrantorGroup &group) const
{
    std::vector<TimePoint> ends;
    ends.reserve(group.size());
    for (const Grantor &grantor : group) {
        ends.push_back(grantedUntil(grantor));
    }
    std::sort(ends.rbegin(), ends.rend());
    return ends[majorityOf(group.size()) - 1];
}

TimePoint GrantHolder::grantedUntil(const Grantor &grantor) const
{
    if (grantor == Grantor{m_self, m_lease->incarnation()}) {
        return TimePoint::max();
    }
    const auto it = m_grants.find(grantor);
    return it == m_grants.end() ? TimePoint::min() : it->second;
}

} // namespace fescueledge
