#pragma once

#include "fescueledge/peertransport.h"

#include <vector>

namespace fescueledge {

class Authority;

/// Sends a query to all live nodes and collects the answers, so that any node can report on all of them.
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
    using AnswerFunction = std::function<nlohmann::json(const nlohmann::json &question)>;

    PeerQuery(PeerTransport *transport, Authority *authority);

    /// Sets the local function that answers queries of @p kind. Call it on the loop before the transport serves
    /// requests.
    void setAnswerFunction(const std::string &kind, AnswerFunction answer);
    /// Queries all live nodes, including this one. The handler gets the answers that arrived in time, ordered by node.
    void askAll(const std::string &kind, const nlohmann::json &question, Handler handler);

private:
    struct Pending;

    PeerTransport *m_transport;
    Authority *m_authority;
};

} // namespace fescueledge
