#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace fescueledge {

/// A TCP proxy on loopback whose open connections can be made to go silent for good: they stay open, and nothing passes
/// any more. Connections that are opened later work.
class SilencingProxy
{
public:
    /// Listens on 127.0.0.1:@p port and connects to 127.0.0.1:@p target. Throws Error (InvalidSettings) if it can't.
    SilencingProxy(int port, int target);
    ~SilencingProxy();
    SilencingProxy(const SilencingProxy &) = delete;
    SilencingProxy &operator=(const SilencingProxy &) = delete;

    /// Makes all connections silent that are open now. Returns how many.
    int silence();
    /// Number of connections accepted so far.
    int accepted() const
    {
        return m_accepted;
    }
    std::string address() const;

private:
    struct Connection;

    void acceptConnections();
    void forward(Connection *connection);

    int m_port;
    int m_target;
    int m_listener = -1;
    std::atomic<bool> m_stopped{false};
    std::atomic<int> m_accepted{0};
    std::mutex m_mutex; ///< Guards m_connections.
    std::vector<std::unique_ptr<Connection>> m_connections;
    std::thread m_thread;
};

} // namespace fescueledge
