#include "fescueledge/testing/fakenetwork.h"

#include "fescueledge/loop.h"
#include "fescueledge/testing/fakepeertransport.h"
#include "fescueledge/testing/simworld.h"

#include <memory>
#include <utility>

namespace fescueledge {

FakeNetwork::FakeNetwork(SimWorld *world, std::uint64_t seed)
    : m_world(world)
    , m_random(seed)
{
}

void FakeNetwork::setCut(const NodeId &from, const NodeId &to, bool cut)
{
    if (cut) {
        m_cuts.insert({from, to});
    } else {
        m_cuts.erase({from, to});
    }
}

void FakeNetwork::setIsolated(const NodeId &node, bool isolated)
{
    if (isolated) {
        m_isolated.insert(node);
    } else {
        m_isolated.erase(node);
    }
}

void FakeNetwork::setHeld(const NodeId &node, bool held)
{
    if (held) {
        m_held[node];
        return;
    }
    const std::vector<std::function<void()>> messages = std::move(m_held[node]);
    m_held.erase(node);
    for (const std::function<void()> &deliver : messages) {
        m_world->after(Duration(latency), deliver);
    }
}

bool FakeNetwork::connected(const NodeId &from, const NodeId &to) const
{
    if (from == to) {
        return true;
    }
    return m_cuts.count({from, to}) == 0 && m_isolated.count(from) == 0 && m_isolated.count(to) == 0;
}

void FakeNetwork::carry(const NodeId &from, const NodeId &to, std::function<void()> deliver)
{
    ++sentTo[to];
    if (!connected(from, to) || (from != to && m_random.chance(loss))) {
        return;
    }
    for (const NodeId &node : {from, to}) {
        const auto held = m_held.find(node);
        if (held != m_held.end()) {
            held->second.push_back(std::move(deliver));
            return;
        }
    }
    m_world->after(from == to ? Duration::zero() : Duration(latency), std::move(deliver));
}

/// A call in progress, completed by its reply or its timeout, whichever comes first.
struct FakePeerTransport::PendingCall
{
    bool done = false;
    ReplyHandler handler;

    void finish(const PeerResult &result)
    {
        if (!done) {
            done = true;
            handler(result);
        }
    }
};

FakePeerTransport::FakePeerTransport(FakeNetwork *network, Loop *loop, const NodeId &self)
    : m_network(network)
    , m_loop(loop)
    , m_self(self)
{
    m_network->m_transports[self] = this;
}

FakePeerTransport::~FakePeerTransport()
{
    const auto it = m_network->m_transports.find(m_self);
    if (it != m_network->m_transports.end() && it->second == this) {
        m_network->m_transports.erase(it);
    }
}

void FakePeerTransport::call(const NodeId &to, const PeerMessage &message, Milliseconds timeout, ReplyHandler handler)
{
    auto pending = std::make_shared<PendingCall>();
    pending->handler = std::move(handler);
    FakeNetwork *network = m_network;
    Loop *loop = m_loop;
    const NodeId self = m_self;
    const Responder respond = [network, loop, self, to, pending](const PeerMessage &reply) {
        network->carry(to, self, [loop, pending, reply] {
            loop->post([pending, reply] {
                pending->finish(PeerResult{true, reply});
            });
        });
    };
    network->carry(self, to, [network, self, to, message, respond] {
        const auto it = network->m_transports.find(to);
        if (it != network->m_transports.end()) {
            it->second->deliver(self, message, respond);
        }
    });
    loop->postAfter(timeout, [pending] {
        pending->finish(PeerResult());
    });
}

void FakePeerTransport::setReceiver(const std::string &kind, Receiver receiver)
{
    m_receivers[kind] = std::move(receiver);
}

void FakePeerTransport::deliver(const NodeId &from, const PeerMessage &message, const Responder &respond)
{
    const auto it = m_receivers.find(message.kind);
    if (it == m_receivers.end()) {
        return;
    }
    const Receiver receiver = it->second;
    m_loop->post([receiver, from, message, respond] {
        receiver(from, message, respond);
    });
}

} // namespace fescueledge
