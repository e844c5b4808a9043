#pragma once

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <utility>

namespace fescueledge {

/// Capacity that a connection's buffer keeps between messages; most messages fit into it.
constexpr std::size_t keptBufferBytes = 2048;
/// Most bytes that one pass of the loop reads from a connection.
constexpr std::uint64_t maxReadBytes = 65536;

/// Reads the rest of a message from @p stream into @p parser and calls @p handler with the error, if there is one.
///
/// One pass of the loop reads as much as @p buffer has room for, which would be 512 bytes by default. On a busy node a
/// pass takes tens of milliseconds, so the buffer gets room for the rest of the message as soon as its length is known.
template<typename Buffer, typename Parser, typename Handler>
void readMessage(boost::beast::tcp_stream *stream, Buffer *buffer, Parser *parser, Handler handler)
{
    parser->eager(true);
    boost::beast::http::async_read_some(
        *stream, *buffer, *parser,
        [stream, buffer, parser, handler = std::move(handler)](const boost::beast::error_code &ec, std::size_t) {
            if (ec || parser->is_done()) {
                if (buffer->size() == 0 && buffer->capacity() > keptBufferBytes) {
                    buffer->shrink_to_fit();
                }
                handler(ec);
                return;
            }
            if (parser->is_header_done()) {
                const std::uint64_t rest = parser->content_length_remaining().value_or(maxReadBytes);
                buffer->reserve(
                    static_cast<std::size_t>(std::clamp<std::uint64_t>(rest, keptBufferBytes, maxReadBytes)));
            }
            readMessage(stream, buffer, parser, handler);
        });
}

} // namespace fescueledge
