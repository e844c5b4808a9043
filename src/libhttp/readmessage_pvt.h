#pragma once

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
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
/// The same for a message whose length is not known beforehand.
constexpr std::uint64_t chunkedReadBytes = 16384;

/// Room for the next read into @p buffer; 0 if it is full. Its limit may have been lowered since it was filled.
template<typename Buffer>
std::size_t readSize(const Buffer &buffer)
{
    constexpr std::size_t minReadBytes = 512;
    const std::size_t room = buffer.max_size() - std::min(buffer.size(), buffer.max_size());
    return std::min({room, std::max(minReadBytes, buffer.capacity() - buffer.size()), std::size_t{maxReadBytes}});
}

/// What @p parser makes of the end of the connection.
template<typename Parser>
boost::beast::error_code endOfStream(Parser *parser)
{
    boost::beast::error_code ec = boost::beast::http::error::end_of_stream;
    if (parser->got_some()) {
        ec = {};
        parser->put_eof(ec);
    }
    return ec;
}

/// Passes what is in @p buffer to @p parser and returns the number of bytes that it took. If the message has headers,
/// @p buffer gets room for its rest.
///
/// One pass of the loop reads as much as the buffer has room for. On a busy node a pass takes tens of milliseconds, so
/// the buffer gets room for the rest of the message as soon as its length is known. Beast's own read operation is not
/// used: it goes on reading while a read ends within the head of a chunk, so it may take in a whole body in one go.
template<typename Buffer, typename Parser>
std::size_t parsePiece(Buffer *buffer, Parser *parser, boost::beast::error_code *ec)
{
    const std::size_t n = parser->put(buffer->data(), *ec);
    buffer->consume(n);
    if (*ec == boost::beast::http::error::need_more) {
        *ec = {};
    }
    if (!*ec && parser->is_header_done() && !parser->is_done()) {
        const std::uint64_t rest = parser->content_length_remaining().value_or(chunkedReadBytes);
        const std::uint64_t wanted = std::clamp<std::uint64_t>(rest, keptBufferBytes, maxReadBytes);
        buffer->reserve(std::min(static_cast<std::size_t>(wanted), buffer->max_size()));
    }
    return n;
}

/// Releases what @p buffer, which is empty, holds beyond what connections keep between messages.
template<typename Buffer>
void trimBuffer(Buffer *buffer)
{
    if (buffer->size() == 0 && buffer->capacity() > keptBufferBytes) {
        buffer->shrink_to_fit();
    }
}

namespace detail {

template<typename Buffer, typename Parser, typename Handler>
void parseMessage(boost::beast::tcp_stream *stream, Buffer *buffer, Parser *parser, Handler handler);

template<typename Buffer, typename Parser, typename Handler>
void receiveMessage(boost::beast::tcp_stream *stream, Buffer *buffer, Parser *parser, Handler handler)
{
    const std::size_t room = readSize(*buffer);
    if (room == 0) {
        handler(boost::beast::http::error::buffer_overflow);
        return;
    }
    stream->async_read_some(buffer->prepare(room),
                            [stream, buffer, parser, handler = std::move(handler)](const boost::beast::error_code &ec,
                                                                                   std::size_t n) mutable {
                                if (ec) {
                                    handler(ec == boost::asio::error::eof ? endOfStream(parser) : ec);
                                    return;
                                }
                                buffer->commit(n);
                                parseMessage(stream, buffer, parser, std::move(handler));
                            });
}

template<typename Buffer, typename Parser, typename Handler>
void parseMessage(boost::beast::tcp_stream *stream, Buffer *buffer, Parser *parser, Handler handler)
{
    boost::beast::error_code ec;
    parsePiece(buffer, parser, &ec);
    if (ec || parser->is_done()) {
        trimBuffer(buffer);
        handler(ec);
        return;
    }
    receiveMessage(stream, buffer, parser, std::move(handler));
}

} // namespace detail

/// Reads the rest of a message from @p stream into @p parser and calls @p handler with the error, if there is one.
template<typename Buffer, typename Parser, typename Handler>
void readMessage(boost::beast::tcp_stream *stream, Buffer *buffer, Parser *parser, Handler handler)
{
    parser->eager(true);
    if (buffer->size() == 0) {
        detail::receiveMessage(stream, buffer, parser, std::move(handler));
        return;
    }
    boost::asio::post(stream->get_executor(), [stream, buffer, parser, handler = std::move(handler)]() mutable {
        detail::parseMessage(stream, buffer, parser, std::move(handler));
    });
}

} // namespace fescueledge
