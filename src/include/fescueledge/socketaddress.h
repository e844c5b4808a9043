#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace fescueledge {

/// The numeric address of a listener.
struct SocketAddress
{
    std::string ip;
    std::uint16_t port = 0;
};

/// Parses `ip:port`. Returns nullopt if the first part is no numeric IP address, or the second no decimal number from 0
/// to 65535.
std::optional<SocketAddress> parseSocketAddress(const std::string &text);

} // namespace fescueledge
