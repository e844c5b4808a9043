#pragma once

#include <cstddef>
#include <string>

namespace fescueledge {

/// A TCP client on loopback that sends any bytes, for tests of listeners.
class RawClient
{
public:
    /// Connects to 127.0.0.1:@p port, with room for @p receiveBuffer bytes in the kernel unless it is 0. Throws Error
    /// (InvalidSettings) if it can't.
    explicit RawClient(int port, int receiveBuffer = 0);
    ~RawClient();
    RawClient(const RawClient &) = delete;
    RawClient &operator=(const RawClient &) = delete;

    /// Sends @p bytes; false if the connection has been closed, or nothing moves on for ten seconds.
    bool send(const std::string &bytes);
    /// Says that nothing more is sent.
    void finishSending();
    /// Reads until @p text has come, the connection ends, or nothing has come for ten seconds. Returns what came.
    std::string readUntil(const std::string &text);
    /// Reads until the connection ends, or nothing has come for ten seconds. Returns what came.
    std::string readAll();
    /// Waits until the other end has closed the connection, without reading; false if it does not within ten seconds.
    bool waitForClose();

private:
    int m_socket;
};

} // namespace fescueledge
