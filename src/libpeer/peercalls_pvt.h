#pragma once

#include "fescueledge/peertransport.h"

#include <cstdint>
#include <map>
#include <memory>

namespace fescueledge {

class Loop;

/// Calls that wait for a reply, and the receivers of calls from others. Used on the loop only.
class PeerCalls
{
public:
    /// Adds a call and returns its id. The handler runs once: with the reply, or without after @p timeout.
    std::uint64_t add(Milliseconds timeout, PeerTransport::ReplyHandler handler, Loop *loop,
                      const std::weak_ptr<PeerCalls> &self);
    /// Ends call @p id with @p result; late and repeated replies are dropped.
    void finish(std::uint64_t id, const PeerResult &result);
    void setReceiver(const std::string &kind, PeerTransport::Receiver receiver);
    /// Hands a call to its receiver. A kind without a receiver is not answered.
    void deliver(const NodeId &from, const PeerMessage &message, const PeerTransport::Responder &respond) const;

private:
    std::uint64_t m_nextId = 1;
    std::map<std::uint64_t, PeerTransport::ReplyHandler> m_pending;
    std::map<std::string, PeerTransport::Receiver> m_receivers;
};

} // namespace fescueledge
