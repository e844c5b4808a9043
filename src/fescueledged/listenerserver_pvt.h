#pragma once

#include <httplib.h>
#include <string>
#include <thread>

namespace fescueledge {

struct DaemonContext;
struct LimitSettings;

/// An HTTP server on a thread of its own, with the limits from the settings.
class ListenerServer
{
public:
    explicit ListenerServer(const LimitSettings &limits);
    ~ListenerServer();
    ListenerServer(const ListenerServer &) = delete;
    ListenerServer &operator=(const ListenerServer &) = delete;

    /// The server, to add paths to before listen().
    httplib::Server *http();
    /// Starts to serve @p address (`ip:port`). @throws Error of kind InvalidSettings if that fails.
    void listen(const std::string &address);
    /// Accepts no more connections and waits for the requests in service. May be called twice.
    void stop();

private:
    httplib::Server m_server;
    std::thread m_thread;
};

/// Adds `/healthz` (the process runs) and `/readyz` (the node may act and does not drain) to @p server.
void addHealthChecks(httplib::Server *server, DaemonContext *context);

} // namespace fescueledge
