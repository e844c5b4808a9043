#include "fescueledge/socketaddress.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace fescueledge {

std::optional<SocketAddress> parseSocketAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    SocketAddress address;
    address.ip = text.substr(0, colon);
    boost::system::error_code ec;
    boost::asio::ip::make_address(address.ip, ec);
    const char *const begin = text.data() + colon + 1;
    const char *const end = text.data() + text.size();
    const std::from_chars_result port = std::from_chars(begin, end, address.port);
    if (ec || begin == end || port.ec != std::errc() || port.ptr != end) {
        return std::nullopt;
    }
    return address;
}

} // namespace fescueledge
