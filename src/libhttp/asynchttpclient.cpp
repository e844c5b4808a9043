#include "fescueledge/asynchttpclient.h"

#include "fescueledge/asioloop.h"
#include "fescueledge/socketaddress.h"
#include "readmessage_pvt.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <iterator>
#include <map>
#include <optional>
#include <utility>

namespace fescueledge {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr int httpVersion = 11;
constexpr std::uint64_t maxResponseBytes = 16U << 20U; ///< A page of rows holds 1 MB, less than 2 MB in base64.
constexpr std::size_t maxIdlePerAddress = 8; ///< More than the concurrent calls to one worker in any test.

bool hasControlCharacter(const std::string &text)
{
    return std::any_of(text.begin(), text.end(), [](char c) {
        return static_cast<unsigned char>(c) < 0x20 || c == 0x7F;
    });
}

/// Whether the head of @p call would contain line breaks, and so another call.
bool isMalformed(const HttpCall &call)
{
    return call.target.find(' ') != std::string::npos || hasControlCharacter(call.target)
        || std::any_of(call.headers.begin(), call.headers.end(), [](const std::pair<std::string, std::string> &header) {
               return hasControlCharacter(header.first) || hasControlCharacter(header.second);
           });
}

void postNotSent(AsioLoop *loop, AsyncHttpClient::Handler handler)
{
    loop->post([handler = std::move(handler)] {
        HttpAnswer answer;
        answer.callOutcome = HttpCallOutcome::NotSent;
        handler(answer);
    });
}

} // namespace

class AsyncHttpClient::Impl : public std::enable_shared_from_this<AsyncHttpClient::Impl>
{
public:
    Impl(AsioLoop *loop, Milliseconds connectTimeout)
        : m_loop(loop)
        , m_connectTimeout(connectTimeout)
    {
    }

    void call(const std::string &address, HttpCall call, Handler handler);
    void mark(const std::string &address, std::uint64_t connection, std::uint64_t mark);

private:
    /// A connection and the call in progress on it.
    struct Connection
    {
        Connection(asio::io_context &io, std::string to)
            : stream(io)
            , address(std::move(to))
        {
        }

        beast::tcp_stream stream;
        std::string address;
        std::uint64_t id = 0;
        std::uint64_t mark = 0; ///< Given by the caller; 0 if none was.
        beast::flat_buffer buffer;
        http::request<http::string_body> request;
        std::unique_ptr<http::response_parser<http::string_body>> parser;
        TimePoint deadline;
        TimePoint sentAt; ///< When the call in progress was sent.
        TimePoint answeredAt; ///< When the last answer came.
        Handler handler;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    /// Takes the connection with mark @p mark that was used last to @p address from the idle ones, or, if @p mark is 0
    /// and all are marked, any of them; nullptr if there is none.
    ConnectionPtr takeIdle(const std::string &address, std::uint64_t mark);
    void connect(const ConnectionPtr &connection);
    void send(const ConnectionPtr &connection);
    void receive(const ConnectionPtr &connection);
    void finish(const ConnectionPtr &connection);
    /// Closes the idle connections that have answered nothing since @p silent got its call: they may be silent as well.
    void closeIdle(const Connection &silent);
    static void fail(const ConnectionPtr &connection, HttpCallOutcome callOutcome)
    {
        Handler handler;
        handler.swap(connection->handler);
        beast::error_code ec;
        connection->stream.socket().close(ec);
        HttpAnswer answer;
        answer.callOutcome = callOutcome;
        handler(answer);
    }

    AsioLoop *m_loop;
    Milliseconds m_connectTimeout;
    std::map<std::string, std::vector<ConnectionPtr>> m_idle;
    std::uint64_t m_lastConnection = 0;
};

AsyncHttpClient::Impl::ConnectionPtr AsyncHttpClient::Impl::takeIdle(const std::string &address, std::uint64_t mark)
{
    std::vector<ConnectionPtr> &idle = m_idle[address];
    auto last = std::find_if(idle.rbegin(), idle.rend(), [mark](const ConnectionPtr &connection) {
        return connection->mark == mark;
    });
    if (last == idle.rend() && mark == 0) {
        last = idle.rbegin(); // Marked ones are left to the calls that need them as long as there are others.
    }
    if (last == idle.rend()) {
        return nullptr;
    }
    ConnectionPtr connection = *last;
    idle.erase(std::prev(last.base()));
    return connection;
}

void AsyncHttpClient::Impl::mark(const std::string &address, std::uint64_t connection, std::uint64_t mark)
{
    std::vector<ConnectionPtr> &idle = m_idle[address];
    const auto former = std::remove_if(idle.begin(), idle.end(), [connection, mark](const ConnectionPtr &known) {
        return known->id != connection && known->mark != 0 && known->mark != mark;
    });
    idle.erase(former, idle.end());
    const auto it = std::find_if(idle.begin(), idle.end(), [connection](const ConnectionPtr &known) {
        return known->id == connection;
    });
    if (it != idle.end()) {
        (*it)->mark = mark;
    }
}

void AsyncHttpClient::Impl::call(const std::string &address, HttpCall call, Handler handler)
{
    if (isMalformed(call)) {
        postNotSent(m_loop, std::move(handler));
        return;
    }
    ConnectionPtr connection = takeIdle(address, call.mark);
    const bool reused = connection != nullptr;
    if (!reused && call.mark != 0) {
        postNotSent(m_loop, std::move(handler));
        return;
    }
    if (!reused) {
        connection = std::make_shared<Connection>(m_loop->context(), address);
        connection->id = ++m_lastConnection;
    }
    connection->sentAt = m_loop->now();
    connection->deadline = connection->sentAt + call.timeout;
    connection->handler = std::move(handler);
    connection->request = {};
    connection->request.version(httpVersion);
    connection->request.method_string(call.method);
    connection->request.target(call.target);
    connection->request.set(http::field::host, address);
    if (!call.contentType.empty()) {
        connection->request.set(http::field::content_type, call.contentType);
    }
    for (const std::pair<std::string, std::string> &header : call.headers) {
        connection->request.set(header.first, header.second);
    }
    connection->request.body() = std::move(call.body);
    connection->request.prepare_payload();
    if (reused) {
        send(connection);
    } else {
        connect(connection);
    }
}

void AsyncHttpClient::Impl::connect(const ConnectionPtr &connection)
{
    const std::optional<SocketAddress> address = parseSocketAddress(connection->address);
    if (!address || address->port == 0) {
        m_loop->post([connection] {
            fail(connection, HttpCallOutcome::NotSent);
        });
        return;
    }
    connection->stream.expires_at(std::min(connection->deadline, m_loop->now() + m_connectTimeout));
    const std::shared_ptr<Impl> self = shared_from_this();
    connection->stream.async_connect(asio::ip::tcp::endpoint(asio::ip::make_address(address->ip), address->port),
                                     [self, connection](const beast::error_code &error) {
                                         if (error) {
                                             fail(connection, HttpCallOutcome::NotSent);
                                             return;
                                         }
                                         beast::error_code ignored;
                                         connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
                                         self->send(connection);
                                     });
}

void AsyncHttpClient::Impl::send(const ConnectionPtr &connection)
{
    connection->stream.expires_at(connection->deadline);
    const std::shared_ptr<Impl> self = shared_from_this();
    http::async_write(connection->stream, connection->request,
                      [self, connection](const beast::error_code &ec, std::size_t written) {
                          if (ec) {
                              self->closeIdle(*connection);
                              fail(connection, written == 0 ? HttpCallOutcome::NotSent : HttpCallOutcome::NoAnswer);
                              return;
                          }
                          self->receive(connection);
                      });
}

void AsyncHttpClient::Impl::receive(const ConnectionPtr &connection)
{
    connection->parser = std::make_unique<http::response_parser<http::string_body>>();
    connection->parser->body_limit(maxResponseBytes);
    const std::shared_ptr<Impl> self = shared_from_this();
    readMessage(&connection->stream, &connection->buffer, connection->parser.get(),
                [self, connection](const beast::error_code &ec) {
                    if (ec) {
                        self->closeIdle(*connection);
                        fail(connection, HttpCallOutcome::NoAnswer);
                        return;
                    }
                    self->finish(connection);
                });
}

void AsyncHttpClient::Impl::closeIdle(const Connection &silent)
{
    std::vector<ConnectionPtr> &idle = m_idle[silent.address];
    const auto suspect = std::remove_if(idle.begin(), idle.end(), [&silent](const ConnectionPtr &connection) {
        return connection->answeredAt <= silent.sentAt;
    });
    idle.erase(suspect, idle.end());
}

void AsyncHttpClient::Impl::finish(const ConnectionPtr &connection)
{
    connection->answeredAt = m_loop->now();
    HttpAnswer answer;
    answer.callOutcome = HttpCallOutcome::Answered;
    answer.status = connection->parser->get().result_int();
    answer.connection = connection->id;
    answer.body = std::move(connection->parser->get().body());
    const bool reusable =
        connection->parser->keep_alive(); // The message does not know that it ended with its connection.
    connection->parser.reset();
    connection->stream.expires_never();
    Handler handler;
    handler.swap(connection->handler);
    std::vector<ConnectionPtr> &idle = m_idle[connection->address];
    answer.isKept = reusable;
    if (reusable) {
        if (idle.size() >= maxIdlePerAddress) {
            idle.erase(idle.begin()); // The one used least recently.
        }
        idle.push_back(connection);
    }
    handler(answer);
}

AsyncHttpClient::AsyncHttpClient(AsioLoop *loop, Milliseconds connectTimeout)
    : m_impl(std::make_shared<Impl>(loop, connectTimeout))
{
}

AsyncHttpClient::~AsyncHttpClient() = default;

void AsyncHttpClient::mark(const std::string &address, std::uint64_t connection, std::uint64_t mark)
{
    m_impl->mark(address, connection, mark);
}

void AsyncHttpClient::call(const std::string &address, HttpCall call, Handler handler)
{
    m_impl->call(address, std::move(call), std::move(handler));
}

} // namespace fescueledge
