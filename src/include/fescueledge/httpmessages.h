#pragma once

#include "fescueledge/types.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace fescueledge {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// An outgoing HTTP request.
struct HttpCall
{
    std::string method;
    std::string target; ///< Path and query.
    std::string contentType;
    std::string body;
    HttpHeaders headers;
    Milliseconds timeout{0}; ///< From the call until the complete answer, including the time to connect.
    /// If not 0, the call is sent only on an idle connection with this mark, and is NotSent if there is none. A process
    /// that was restarted has none of the earlier connections, so it can't receive such a call.
    std::uint64_t mark = 0;
};

/// The result of a call at the level of the connection.
enum class HttpCallOutcome {
    Answered, ///< A complete answer arrived; see its status.
    NotSent, ///< No byte of the call was sent: there was no connection, or it had broken before.
    NoAnswer, ///< The connection broke or the call timed out; the server may have run the call, or may still run it.
};

/// The answer to an HttpCall, or its failure.
struct HttpAnswer
{
    HttpCallOutcome callOutcome = HttpCallOutcome::NoAnswer;
    int status = 0; ///< 0 unless answered.
    std::string body;
    std::uint64_t connection = 0; ///< Identifies the connection, for AsyncHttpClient::mark().
    bool isKept = false; ///< The connection stays open for further calls.
};

/// A request received by a listener.
struct HttpRequest
{
    std::string method;
    std::string target;
    std::string host;
    std::string authorization; ///< Value of the `Authorization` header; empty if there is none.
    std::string body;
    Milliseconds callerTimeout{0}; ///< How long the client waits for the answer; 0 if unknown.
};

/// The answer to an HttpRequest.
struct HttpReply
{
    int status = 500;
    std::string contentType;
    std::string body;
    std::chrono::seconds retryAfter{0}; ///< Sent as Retry-After when positive.
};

} // namespace fescueledge
