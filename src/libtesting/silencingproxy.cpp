#include "fescueledge/testing/silencingproxy.h"

#include "fescueledge/error.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace fescueledge {

namespace {

constexpr int pollIntervalMs = 20;
constexpr int backlog = 64;

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

int connectTo(int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = loopback(port);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

bool isReadable(int fd)
{
    pollfd waits{fd, POLLIN, 0};
    return poll(&waits, 1, pollIntervalMs) > 0;
}

/// Passes on what can be read of @p from; false if either end has closed.
bool pass(int from, int to)
{
    std::array<char, 65536> buf{};
    const ssize_t n = recv(from, buf.data(), buf.size(), 0);
    return n > 0 && send(to, buf.data(), static_cast<std::size_t>(n), MSG_NOSIGNAL) == n;
}

} // namespace

struct SilencingProxy::Connection
{
    int client = -1;
    int server = -1;
    std::atomic<bool> silent{false};
    std::atomic<bool> over{false};
    std::thread thread;
};

SilencingProxy::SilencingProxy(int port, int target)
    : m_port(port)
    , m_target(target)
    , m_listener(socket(AF_INET, SOCK_STREAM, 0))
{
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    if (bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || listen(m_listener, backlog) != 0) {
        close(m_listener);
        throw Error(ErrorKind::InvalidSettings, "cannot listen on port " + std::to_string(port));
    }
    m_thread = std::thread([this] {
        acceptConnections();
    });
}

SilencingProxy::~SilencingProxy()
{
    m_stopped = true;
    m_thread.join();
    for (const std::unique_ptr<Connection> &connection : m_connections) {
        connection->thread.join();
        close(connection->client);
        close(connection->server);
    }
    close(m_listener);
}

std::string SilencingProxy::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

int SilencingProxy::silence()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    int n = 0;
    for (const std::unique_ptr<Connection> &connection : m_connections) {
        n += connection->over || connection->silent.exchange(true) ? 0 : 1;
    }
    return n;
}

void SilencingProxy::acceptConnections()
{
    while (!m_stopped) {
        if (!isReadable(m_listener)) {
            continue;
        }
        std::unique_ptr<Connection> connection = std::make_unique<Connection>();
        connection->client = accept(m_listener, nullptr, nullptr);
        connection->server = connectTo(m_target);
        if (connection->client < 0 || connection->server < 0) {
            close(connection->client);
            close(connection->server);
            continue;
        }
        ++m_accepted;
        Connection *added = connection.get();
        connection->thread = std::thread([this, added] {
            forward(added);
        });
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_connections.push_back(std::move(connection));
    }
}

void SilencingProxy::forward(Connection *connection)
{
    while (!m_stopped && !connection->silent && !connection->over) {
        std::array<pollfd, 2> waits{pollfd{connection->client, POLLIN, 0}, pollfd{connection->server, POLLIN, 0}};
        if (poll(waits.data(), waits.size(), pollIntervalMs) <= 0 || connection->silent) {
            continue;
        }
        const bool toServer = waits[0].revents == 0 || pass(connection->client, connection->server);
        const bool toClient = waits[1].revents == 0 || pass(connection->server, connection->client);
        if (!toServer || !toClient) {
            connection->over = true;
            shutdown(connection->client, SHUT_RDWR);
            shutdown(connection->server, SHUT_RDWR);
        }
    }
}

} // namespace fescueledge
