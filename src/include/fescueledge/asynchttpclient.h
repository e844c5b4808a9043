#pragma once

#include "fescueledge/httpmessages.h"

#include <functional>
#include <memory>
#include <string>

namespace fescueledge {

class AsioLoop;

/// Makes HTTP/1.1 calls on a loop, over connections that are kept open and reused.
///
/// A connection whose call failed or timed out is closed, so a late answer never reaches a later call.
class AsyncHttpClient
{
public:
    using Handler = std::function<void(const HttpAnswer &)>;

    /// @p connectTimeout limits the time to open a connection; it counts towards the call's own timeout.
    AsyncHttpClient(AsioLoop *loop, Milliseconds connectTimeout);
    ~AsyncHttpClient();
    AsyncHttpClient(const AsyncHttpClient &) = delete;
    AsyncHttpClient &operator=(const AsyncHttpClient &) = delete;

    /// Sends @p call to @p address (`ip:port`). The handler runs on the loop, exactly once. A call to anything else, or
    /// with control characters in its target or headers, is NotSent. If a call gets no answer, the idle connections to
    /// its address are closed as well, but for those that have answered since.
    void call(const std::string &address, HttpCall call, Handler handler);

    /// Marks @p connection to @p address with @p mark, which is not 0, for HttpCall::mark; it has to be idle, as it is
    /// while its answer is handled. Idle connections to the address with another mark are closed.
    void mark(const std::string &address, std::uint64_t connection, std::uint64_t mark);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace fescueledge
