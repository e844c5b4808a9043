#pragma once

#include "fescueledge/peertransport.h"

#include <map>

namespace fescueledge {

class FakeNetwork;
class Loop;

/// The transport of one simulated daemon over a FakeNetwork.
class FakePeerTransport : public PeerTransport
{
public:
    /// Registers @p self on @p network until destruction; @p loop is the loop of that process.
    FakePeerTransport(FakeNetwork *network, Loop *loop, const NodeId &self);
    ~FakePeerTransport() override;
    FakePeerTransport(const FakePeerTransport &) = delete;
    FakePeerTransport &operator=(const FakePeerTransport &) = delete;

    void call(const NodeId &to, const PeerMessage &message, Milliseconds timeout, ReplyHandler handler) override;
    void setReceiver(const std::string &kind, Receiver receiver) override;

private:
    struct PendingCall;
    void deliver(const NodeId &from, const PeerMessage &message, const Responder &respond);

    FakeNetwork *m_network;
    Loop *m_loop;
    NodeId m_self;
    std::map<std::string, Receiver> m_receivers;
};

} // namespace fescueledge
