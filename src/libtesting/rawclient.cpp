#include "fescueledge/testing/rawclient.h"

#include "fescueledge/error.h"

#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace fescueledge {

namespace {

constexpr int patienceSeconds = 10;
constexpr int millisecondsPerSecond = 1000;

} // namespace

RawClient::RawClient(int port, int receiveBuffer)
    : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    if (receiveBuffer != 0) {
        setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    }
    const timeval patience{patienceSeconds, 0};
    setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
    setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof(patience));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(m_socket);
        throw Error(ErrorKind::InvalidSettings, "cannot connect to port " + std::to_string(port));
    }
}

RawClient::~RawClient()
{
    ::close(m_socket);
}

bool RawClient::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t n = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

void RawClient::finishSending()
{
    shutdown(m_socket, SHUT_WR);
}

std::string RawClient::readUntil(const std::string &text)
{
    std::string got;
    std::array<char, 4096> buffer{};
    while (text.empty() || got.find(text) == std::string::npos) {
        const ssize_t n = recv(m_socket, buffer.data(), buffer.size(), 0);
        if (n <= 0) {
            break;
        }
        got.append(buffer.data(), static_cast<std::size_t>(n));
    }
    return got;
}

std::string RawClient::readAll()
{
    return readUntil(std::string());
}

bool RawClient::waitForClose()
{
    pollfd waited{m_socket, POLLRDHUP, 0};
    return poll(&waited, 1, patienceSeconds * millisecondsPerSecond) > 0;
}

} // namespace fescueledge
