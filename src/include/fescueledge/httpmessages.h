#pragma once

#include "fescueledge/types.h"

#include <string>
#include <utility>
#include <vector>

namespace fescueledge {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// A request to another process.
struct HttpCall
{
    std::string method;
    std::string target; ///< Path and query.
    std::string contentType;
    std::string body;
    HttpHeaders headers;
    Milliseconds timeout{0}; ///< From the call until the whole answer, connecting included.
};

/// How far a call got.
enum class HttpFate {
    Answered, ///< A whole answer came; its status says the rest.
    NotSent, ///< No connection was made; the other side has seen nothing.
    NoAnswer, ///< The connection broke or the time ran out; the call may have been, or may yet be, carried out.
};

/// What came of an HttpCall.
struct HttpAnswer
{
    HttpFate fate = HttpFate::NoAnswer;
    int status = 0; ///< 0 unless answered.
    std::string body;
};

/// A request that a listener received.
struct HttpRequest
{
    std::string method;
    std::string target;
    std::string host;
    std::string body;
    Milliseconds patience{0}; ///< How long the client waits for the answer; 0 if it does not say.
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
