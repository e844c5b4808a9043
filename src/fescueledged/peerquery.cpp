#include "peerquery_pvt.h"

#include "fescueledge/authority.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace fescueledge {

namespace {

constexpr Milliseconds answerTimeout{1000};

} // namespace

struct PeerQuery::Pending
{
    std::size_t outstanding = 0;
    std::vector<Answer> answers;
    Handler handler;

    void nodeDone()
    {
        if (--outstanding > 0) {
            return;
        }
        std::sort(answers.begin(), answers.end(), [](const Answer &a, const Answer &b) {
            return a.node < b.node;
        });
        handler(answers);
    }
};

PeerQuery::PeerQuery(PeerTransport *transport, Authority *authority)
    : m_transport(transport)
    , m_authority(authority)
{
}

void PeerQuery::setAnswerFunction(const std::string &kind, AnswerFunction answer)
{
    m_transport->setReceiver(kind,
                             [kind, answer = std::move(answer)](const NodeId &, const PeerMessage &message,
                                                                const PeerTransport::Responder &respond) {
                                 respond(PeerMessage{kind, answer(message.body)});
                             });
}

void PeerQuery::askAll(const std::string &kind, const nlohmann::json &question, Handler handler)
{
    std::vector<NodeId> nodes = m_authority->liveNodes();
    if (nodes.empty()) {
        nodes.push_back(m_authority->self());
    }
    auto pending = std::make_shared<Pending>();
    pending->outstanding = nodes.size();
    pending->handler = std::move(handler);
    for (const NodeId &node : nodes) {
        m_transport->call(node, PeerMessage{kind, question}, answerTimeout, [pending, node](const PeerResult &result) {
            if (result.answered) {
                pending->answers.push_back(Answer{node, result.reply.body});
            }
            pending->nodeDone();
        });
    }
}

} // namespace fescueledge
