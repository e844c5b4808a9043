// What is kept of a request, and what its header may be.
#include "requestparser_pvt.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <catch2/catch.hpp>
#include <string>

using namespace fescueledge;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t headerLimit = 16'384;

std::string repeated(const std::string &text, std::size_t count)
{
    std::string out;
    for (std::size_t i = 0; i < count; ++i) {
        out += text;
    }
    return out;
}

/// Passes @p text to @p parser, @p piece bytes at a time; the error, if there is one.
boost::beast::error_code parse(RequestParser *parser, const std::string &text, std::size_t piece)
{
    parser->eager(true);
    parser->limitHeader(headerLimit);
    boost::beast::flat_buffer buffer;
    boost::beast::error_code ec;
    for (std::size_t at = 0; at < text.size() && !ec && !parser->is_done(); at += piece) {
        const std::string next = text.substr(at, piece);
        buffer.commit(boost::asio::buffer_copy(buffer.prepare(next.size()), boost::asio::buffer(next)));
        buffer.consume(parser->put(buffer.data(), ec));
        ec = ec == http::error::need_more ? boost::beast::error_code() : ec;
    }
    return ec;
}

boost::beast::error_code parse(RequestParser *parser, const std::string &text)
{
    return parse(parser, text, text.size());
}

const std::string start = "POST /a HTTP/1.1\r\nHost: desk\r\n";

} // namespace

// Guards against memory that no budget counts: a header of 16 KB has up to 4,000 fields, and each one kept costs twenty
// times its bytes on the wire.
TEST_CASE("header fields that no listener uses are not kept")
{
    RequestParser parser;
    CHECK_FALSE(parse(&parser, start + repeated("a:\r\n", 3900) + "Content-Length: 0\r\n\r\n"));
    CHECK(parser.is_done());
    CHECK(parser.request().host == "desk");
    CHECK(parser.keptBytes() < 100);
}

// Guards against headers without end: Beast's limit is on what it has not consumed yet, and it consumes each line of
// which it has seen the first byte of the next one.
TEST_CASE("a header that comes line by line has the same limit as one that comes at once")
{
    const auto parseLines = [](RequestParser *parser, std::size_t lines) {
        boost::beast::flat_buffer buffer;
        boost::beast::error_code ec;
        const auto put = [&](const std::string &text) {
            buffer.commit(boost::asio::buffer_copy(buffer.prepare(text.size()), boost::asio::buffer(text)));
            buffer.consume(parser->put(buffer.data(), ec));
            ec = ec == http::error::need_more ? boost::beast::error_code() : ec;
        };
        parser->limitHeader(headerLimit);
        put(start + "a");
        for (std::size_t i = 0; i < lines && !ec; ++i) {
            put(":\r\na");
        }
        if (!ec) {
            put(":\r\n\r\n");
        }
        return ec;
    };
    RequestParser beyond;
    CHECK(parseLines(&beyond, 10'000) == http::error::header_limit);
    RequestParser within;
    CHECK_FALSE(parseLines(&within, 4000));
    CHECK(within.is_done());
}

TEST_CASE("a header over its limit is refused in whatever pieces it comes")
{
    const std::size_t piece = GENERATE(1, 1000, 1'000'000);
    RequestParser parser;
    CHECK(parse(&parser, start + repeated("a:\r\n", 10'000), piece) == http::error::header_limit);
}

TEST_CASE("trailers have the limit of a header of their own")
{
    const std::string chunked = start + repeated("a:\r\n", 3900) + "Transfer-Encoding: chunked\r\n\r\n0\r\n";
    RequestParser within;
    CHECK_FALSE(parse(&within, chunked + repeated("t:\r\n", 4000) + "\r\n"));
    CHECK(within.is_done());
    RequestParser beyond;
    CHECK(parse(&beyond, chunked + repeated("t:\r\n", 6000) + "\r\n") == http::error::header_limit);
}

// Guards against a request whose key or address changes after its header was checked.
TEST_CASE("trailers and repeated fields don't replace fields of the header")
{
    RequestParser parser;
    CHECK_FALSE(parse(&parser,
                      start + "Host: other\r\nX-Deadline-Ms: 250\r\nX-Deadline-Ms: 900\r\n"
                          + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nAuthorization: Token a\r\n\r\n"));
    REQUIRE(parser.is_done());
    CHECK(parser.request().method == "POST");
    CHECK(parser.request().target == "/a");
    CHECK(parser.request().host == "desk");
    CHECK(parser.request().authorization.empty());
    CHECK(parser.request().callerTimeout == Milliseconds(250));
    CHECK(parser.request().body == "abc");
}

TEST_CASE("what is kept of a request counts")
{
    RequestParser parser;
    parser.body_limit(100'000);
    CHECK_FALSE(parse(&parser, start + "Content-Length: 50000\r\n\r\n" + std::string(100, 'x')));
    CHECK_FALSE(parser.is_done());
    CHECK(parser.keptBytes() >= 50'000);
}
