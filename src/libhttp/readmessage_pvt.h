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

/// Reads the rest of a message from @p stream into @p parser and calls @p handler with the error, if there is one. As
/// soon as the header is complete, @p acceptHeader is called once; if it returns false, nothing more is read and
/// @p handler is not called.
///
/// One pass of the loop reads as much as @p buffer has room for, which would be 512 bytes by default. On a busy node a
/// pass takes tens of milliseconds, so the buffer gets room for the rest of the message as soon as its length is known.
template<typename Buffer, typename Parser, typename AcceptHeader, typename Handler>
void readMessage(boost::beast::tcp_stream *stream, Buffer *buffer, Parser *parser, AcceptHeader acceptHeader,
                 Handler handler)
{
    parser->eager(true);
    const bool hadHeader = parser->is_header_done();
    boost::beast::http::async_read_some(
        *stream, *buffer, *parser,
        [stream, buffer, parser, hadHeader, acceptHeader = std::move(acceptHeader),
         handler = std::move(handler)](const boost::beast::error_code &ec, std::size_t) {
            if (!ec && !hadHeader && parser->is_header_done() && !acceptHeader()) {
                return;
            }
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
            readMessage(stream, buffer, parser, acceptHeader, handler);
        });
}

/// The same, whatever the header says.
template<typename Buffer, typename Parser, typename Handler>
void readMessage(boost::beast::tcp_stream *stream, Buffer *buffer, Parser *parser, Handler handler)
{
    readMessage(
        stream, buffer, parser,
        [] {
            return true;
        },
        std::move(handler));
}

} // namespace fescueledge
