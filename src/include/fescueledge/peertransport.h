#pragma once

#include "fescueledge/types.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace fescueledge {

/// A message between two daemons. The typed message structs convert themselves to and from the body.
struct PeerMessage
{
    std::string kind; ///< Name of the message type, such as `promise-request`.
    nlohmann::json body;
};

/// The answer to a call to another node.
struct PeerResult
{
    bool answered = false; ///< False on timeout or a broken link; the call may still have been carried out.
    PeerMessage reply;
};

/// Calls between daemons. A node may call itself. Handlers and receivers run on the caller's loop.
class PeerTransport
{
public:
    using ReplyHandler = std::function<void(const PeerResult &)>;
    /// Sends the reply to a call. It may be kept and called later, at most once.
    using Responder = std::function<void(const PeerMessage &)>;
    using Receiver = std::function<void(const NodeId &from, const PeerMessage &message, const Responder &respond)>;

    virtual ~PeerTransport() = default;
    /// Calls @p to; the handler runs exactly once.
    virtual void call(const NodeId &to, const PeerMessage &message, Milliseconds timeout, ReplyHandler handler) = 0;
    /// Sets the function that answers calls of kind @p kind.
    virtual void setReceiver(const std::string &kind, Receiver receiver) = 0;
};

} // namespace fescueledge
