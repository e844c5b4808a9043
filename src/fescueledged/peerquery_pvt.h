#pragma once

#include "fescueledge/peertransport.h"

#include <vector>

namespace fescueledge {

class Authority;

/// Asks all live nodes one question and collects the answers, so that any node can answer for all.
class PeerQuery
{
public:
    /// One node's answer.
    struct Answer
    {
        NodeId node;
        nlohmann::json body;
    };
    using Handler = std::function<void(const std::vector<Answer> &)>;
    using Responder = std::function<nlohmann::json(const nlohmann::json &question)>;

    PeerQuery(PeerTransport *transport, Authority *authority);

    /// Sets what this node answers to questions of @p kind. On the loop, before the transport serves.
    void setResponder(const std::string &kind, Responder source);
    /// Asks all live nodes, this one included. The handler gets the answers that came in time, ordered by node.
    void askAll(const std::string &kind, const nlohmann::json &question, Handler handler);

private:
    struct Pending;

    PeerTransport *m_transport;
    Authority *m_authority;
};

} // namespace fescueledge
