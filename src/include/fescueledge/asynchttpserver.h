#pragma once

#include "fescueledge/httpmessages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fescueledge {

class AsioLoop;
class InputBudget;
class InputTurns;

/// An HTTP/1.1 listener on a loop. Each connection carries one request at a time.
class AsyncHttpServer
{
public:
    using Responder = std::function<void(const HttpReply &)>;
    /// Answers a request by calling the responder once, now or later, on the loop.
    using Handler = std::function<void(const HttpRequest &, const Responder &)>;

    /// Decides from the headers of a request, whose body is still empty, whether it is answered without its body.
    using HeaderCheck = std::function<std::optional<HttpReply>(const HttpRequest &)>;

    /// Limits on each connection.
    struct Limits
    {
        std::size_t headerBytes = 16384; ///< Same default as in the operators' configuration.
        std::size_t bodyBytes = 262144; ///< Same default as in the operators' configuration.
        Milliseconds idleTimeout{15000}; ///< Until the first byte of a request.
        Milliseconds headerTimeout{15000}; ///< From its first byte until its headers are complete.
        Milliseconds messageTimeout{15000}; ///< From its first byte until it is complete.
        /// Connections at a time; beyond it, one that has not made a request for longest is closed. No more requests
        /// are handled at a time either, though clients may have left before they are answered.
        std::size_t connections = 1000;
    };

    /// Listens on @p address (`ip:port`). @throws Error of kind InvalidSettings if that fails.
    AsyncHttpServer(AsioLoop *loop, const std::string &address, Handler handler);
    ~AsyncHttpServer();
    AsyncHttpServer(const AsyncHttpServer &) = delete;
    AsyncHttpServer &operator=(const AsyncHttpServer &) = delete;

    /// Sets the limits. On open connections they are in force from the next request whose headers are complete;
    /// @c idleTimeout from the next wait on.
    void setLimits(const Limits &limits);
    const Limits &limits() const;
    /// Sets the budget that unfinished requests and their answers share with those of other listeners.
    void setInputBudget(std::shared_ptr<InputBudget> budget);
    /// Sets the turns in which input is read, shared with other listeners of the same loop.
    void setInputTurns(std::shared_ptr<InputTurns> turns);
    /// Sets a handler that is called with the reason when a connection is closed or a request refused for a limit.
    void setRejectionHandler(std::function<void(const char *reason)> handler);
    /// Sets a check of each request whose headers are complete. A reply is sent at once, and the connection closed
    /// unless the whole request has been received.
    void setHeaderCheck(HeaderCheck check);
    /// Bytes of requests that have been parsed so far.
    std::uint64_t parsedBytes() const;
    /// Number of requests received and not yet answered.
    std::size_t inFlight() const;
    /// Closes idle connections now and every other connection after its next answer.
    void drain();
    /// Sends `Connection: close` with every further answer; idle connections stay open.
    void announceClose();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace fescueledge
