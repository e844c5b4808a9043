#pragma once

#include "fescueledge/httpmessages.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace fescueledge {

class AsioLoop;

/// An HTTP/1.1 listener on a loop. Each connection carries one request at a time.
class AsyncHttpServer
{
public:
    using Responder = std::function<void(const HttpReply &)>;
    /// Answers a request by calling the responder once, now or later, on the loop.
    using Handler = std::function<void(const HttpRequest &, const Responder &)>;

    /// Bounds on what one connection may take.
    struct Limits
    {
        std::size_t headerBytes = 16384; ///< As the operators' configuration has it by default.
        std::size_t bodyBytes = 262144; ///< As the operators' configuration has it by default.
        Milliseconds headerTimeout{15000}; ///< From the first wait for a request until it is complete.
    };

    /// Listens on @p address (`ip:port`). @throws Error of kind InvalidSettings if that is not possible.
    AsyncHttpServer(AsioLoop *loop, const std::string &address, Handler handler);
    ~AsyncHttpServer();
    AsyncHttpServer(const AsyncHttpServer &) = delete;
    AsyncHttpServer &operator=(const AsyncHttpServer &) = delete;

    void setLimits(const Limits &limits);
    /// Requests that were received and not yet answered.
    std::size_t inFlight() const;
    /// From now on each answer closes its connection, and connections that wait for a request are closed.
    void drain();
    /// From now on each answer announces that its connection closes; waiting connections stay open.
    void announceClose();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace fescueledge
