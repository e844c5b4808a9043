#pragma once

#include "fescueledge/runoutcome.h"
#include "fescueledge/types.h"

#include <functional>
#include <map>
#include <string>

namespace fescueledge {

/// A caller's request as sent to an endpoint.
struct ServiceRequest
{
    std::string id; ///< Correlation id, unique per request; sent to the endpoint.
    std::string method;
    std::string host;
    std::string path; ///< Path with the query.
    std::map<std::string, std::string> headers;
    std::string body;
    std::string customer; ///< Customer that is billed; limits apply per customer.
    std::string key; ///< Idempotency key; empty if none was given.
};

/// A complete answer of an endpoint.
struct ServiceResponse
{
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// The result of sending one request to one endpoint once.
struct SendResult
{
    bool ok = false; ///< True if a complete answer to this request arrived.
    ServiceResponse response;
    RunOutcome outcome = RunOutcome::Unknown; ///< For failures: NotRun only if no byte was sent.
    std::string detail; ///< For failures: what happened.
};

/// Sends requests to the endpoints on workers. Handlers run later on the caller's loop, exactly once.
class EndpointClient
{
public:
    using Handler = std::function<void(const SendResult &)>;

    virtual ~EndpointClient() = default;
    /// Sends @p request to @p address with fencing token @p epoch, without retries. No byte is sent after
    /// @p sendBefore; the call fails once @p timeout has passed.
    virtual void send(const std::string &address, Epoch epoch, const ServiceRequest &request, TimePoint sendBefore,
                      Milliseconds timeout, Handler handler) = 0;
};

} // namespace fescueledge
