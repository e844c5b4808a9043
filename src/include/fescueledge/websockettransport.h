#pragma once

#include "fescueledge/peertransport.h"

#include <memory>

namespace fescueledge {

class Loop;

/// Makes calls between daemons, as CBOR in binary websocket messages.
///
/// Each node keeps one outgoing connection to every node that it calls; replies come back on it. Connections open on
/// demand and are closed after a failure. Calls made while a connection opens wait for it, up to their timeout.
/// setReceiver() and call() must be called on the loop; handlers run on it.
class WebsocketTransport : public PeerTransport
{
public:
    /// Finds the address (`ip:port`) of a node; empty if unknown. Called on the loop.
    using AddressLookup = std::function<std::string(const NodeId &)>;
    /// Called on the loop with the reason when an incoming connection is closed for a limit.
    using RejectionHandler = std::function<void(const char *reason)>;

    /// Listens on @p listenAddress (`ip:port`). Peers must present @p token.
    /// @throws Error of kind InvalidSettings if the address can't be listened on.
    WebsocketTransport(Loop *loop, const NodeId &self, const std::string &listenAddress, const std::string &token);
    ~WebsocketTransport() override;
    WebsocketTransport(const WebsocketTransport &) = delete;
    WebsocketTransport &operator=(const WebsocketTransport &) = delete;

    /// Sets the address lookup. Without it, only calls to the node itself succeed.
    void setAddressLookup(AddressLookup lookup);
    void setRejectionHandler(RejectionHandler handler);
    void call(const NodeId &to, const PeerMessage &message, Milliseconds timeout, ReplyHandler handler) override;
    void setReceiver(const std::string &kind, Receiver receiver) override;

    /// Bytes sent to other nodes so far. Thread-safe.
    std::uint64_t bytesSent() const;
    /// Messages sent to other nodes so far. Thread-safe.
    std::uint64_t messagesSent() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace fescueledge
