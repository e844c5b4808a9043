#pragma once

#include "fescueledge/types.h"

#include <memory>
#include <string>

namespace fescueledge {

/// One request to the operators' listener of a node.
struct ApiRequest
{
    std::string method; ///< GET, POST or DELETE.
    std::string path; ///< Includes the query.
    std::string body; ///< JSON; may be empty.
};

/// Outcome of one request.
struct ApiResponse
{
    enum class Delivery {
        NotSent, ///< No connection could be made.
        Lost, ///< The request was sent, or may have been, but no complete answer arrived.
        Answered,
    };
    Delivery delivery = Delivery::NotSent;
    int status = 0; ///< HTTP status, if answered.
    std::string body; ///< Body, if answered.
};

/// Sends requests to nodes.
class OperatorTransport
{
public:
    virtual ~OperatorTransport() = default;
    /// Sends @p request once to @p node (`ip:port`) and waits at most @p timeout for the answer.
    virtual ApiResponse send(const std::string &node, const ApiRequest &request, Milliseconds timeout) = 0;
};

} // namespace fescueledge
