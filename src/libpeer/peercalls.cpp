#include "peercalls_pvt.h"

#include "fescueledge/loop.h"

#include <glog/logging.h>
#include <utility>

namespace fescueledge {

std::uint64_t PeerCalls::add(Milliseconds timeout, PeerTransport::ReplyHandler handler, Loop *loop,
                             const std::weak_ptr<PeerCalls> &self)
{
    const std::uint64_t id = m_nextId++;
    m_pending[id] = std::move(handler);
    loop->postAfter(timeout, [self, id] {
        if (const std::shared_ptr<PeerCalls> calls = self.lock()) {
            calls->finish(id, PeerResult());
        }
    });
    return id;
}

void PeerCalls::finish(std::uint64_t id, const PeerResult &result)
{
    const auto it = m_pending.find(id);
    if (it == m_pending.end()) {
        return;
    }
    const PeerTransport::ReplyHandler handler = std::move(it->second);
    m_pending.erase(it);
    handler(result);
}

void PeerCalls::setReceiver(const std::string &kind, PeerTransport::Receiver receiver)
{
    m_receivers[kind] = std::move(receiver);
}

void PeerCalls::deliver(const NodeId &from, const PeerMessage &message, const PeerTransport::Responder &respond) const
{
    const auto it = m_receivers.find(message.kind);
    if (it == m_receivers.end()) {
        LOG(WARNING) << "peer_message_unknown node=" << from << " kind=" << message.kind;
        return;
    }
    try {
        it->second(from, message, respond);
    } catch (const nlohmann::json::exception &error) {
        LOG(ERROR) << "peer_message_malformed node=" << from << " kind=" << message.kind << " detail=" << error.what();
    }
}

} // namespace fescueledge
