#pragma once

#include <httplib.h>
#include <string>
#include <thread>

namespace fescueledge {

struct DaemonContext;
struct LimitSettings;

/// An HTTP server that listens on its own thread, with the limits from the settings.
class ListenerServer
{
public:
    explicit ListenerServer(const LimitSettings &limits);
    ~ListenerServer();
    ListenerServer(const ListenerServer &) = delete;
    ListenerServer &operator=(const ListenerServer &) = delete;

    /// The underlying server. Add handlers before calling listen().
    httplib::Server *http();
    /// Starts serving @p address (`ip:port`). @throws Error of kind InvalidSettings if it can't bind to the address.
    void listen(const std::string &address);
    /// Stops accepting connections and waits for the requests in progress. May be called more than once.
    void stop();

private:
    httplib::Server m_server;
    std::thread m_thread;
};

/// Adds `/healthz` (the process is running) and `/readyz` (the node may act and is not draining) to @p server.
void addHealthChecks(httplib::Server *server, DaemonContext *context);

} // namespace fescueledge
