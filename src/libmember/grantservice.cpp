#include "grantservice_pvt.h"

#include "fescueledge/controlregister.h"
#include "fescueledge/controlstate.h"
#include "fescueledge/loop.h"
#include "fescueledge/peertransport.h"
#include "membermessages_pvt.h"
#include "nodetable_pvt.h"
#include "storelease_pvt.h"

namespace fescueledge {

GrantService::GrantService(Loop *loop, PeerTransport *transport, const StoreLease *lease, NodeTable *nodes,
                           ControlRegister *controlRegister, const LeaseTimings &timings)
    : m_loop(loop)
    , m_lease(lease)
    , m_nodes(nodes)
    , m_control(controlRegister)
    , m_ledger(timings)
{
    transport->setReceiver(
        GrantRequest::kind,
        [this](const NodeId &from, const PeerMessage &message, const PeerTransport::Responder &respond) {
            respond(PeerMessage{GrantReply::kind, onGrant(from, message.body.get<GrantRequest>())});
        });
    transport->setReceiver(RefusalRequest::kind,
                           [this](const NodeId &, const PeerMessage &message, const PeerTransport::Responder &respond) {
                               respond(PeerMessage{RefusalReply::kind, onRefusal(message.body.get<RefusalRequest>())});
                           });
}

void GrantService::close()
{
    m_ledger.close();
}

TimePoint GrantService::allExpiredAt() const
{
    return m_ledger.allExpiredAt();
}

GrantReply GrantService::onGrant(const NodeId &from, const GrantRequest &request)
{
    m_nodes->recordContact(from, m_loop->now());
    m_control->observeVersion(request.controlVersion, request.controlDigest, from);
    GrantReply reply;
    reply.incarnation = m_lease->incarnation();
    reply.controlVersion = m_control->current()->version;
    reply.controlDigest = m_control->currentDigest();
    // While this node knows of a newer control version than it has loaded, its reply would name the older one and let
    // the holder continue to act on it.
    const bool mayGrant = m_lease->isReady() && m_control->isUpToDate();
    reply.granted = mayGrant && m_ledger.grant({from, request.incarnation}, request.rowVersion, m_loop->now());
    return reply;
}

RefusalReply GrantService::onRefusal(const RefusalRequest &request)
{
    const bool mayRefuse = m_lease->isReady() && request.grantorIncarnation == m_lease->incarnation();
    return RefusalReply{mayRefuse && m_ledger.refuse(request.holder, request.rowVersion, m_loop->now())};
}

} // namespace fescueledge
