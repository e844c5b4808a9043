#pragma once

#include "fescueledge/peertransport.h"

#include <cstdint>
#include <map>
#include <memory>

namespace fescueledge {

class Loop;

/// Tracks outgoing calls until their reply or timeout, and dispatches incoming calls to their receivers. Used on the
/// loop only.
class PeerCalls
{
public:
    /// Registers a call and returns its id. The handler runs exactly once: with the reply, or with an unanswered result
    /// after @p timeout.
    std::uint64_t add(Milliseconds timeout, PeerTransport::ReplyHandler handler, Loop *loop,
                      const std::weak_ptr<PeerCalls> &self);
    /// Completes call @p id with @p result. Late and duplicate replies are dropped.
    void finish(std::uint64_t id, const PeerResult &result);
    void setReceiver(const std::string &kind, PeerTransport::Receiver receiver);
    /// Passes an incoming call to the receiver of its kind. A call of a kind without a receiver gets no reply.
    void deliver(const NodeId &from, const PeerMessage &message, const PeerTransport::Responder &respond) const;

private:
    std::uint64_t m_nextId = 1;
    std::map<std::uint64_t, PeerTransport::ReplyHandler> m_pending;
    std::map<std::string, PeerTransport::Receiver> m_receivers;
};

} // namespace fescueledge
