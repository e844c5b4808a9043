#include "fescueledge/asynchttpserver.h"

#include "fescueledge/asioloop.h"
#include "fescueledge/error.h"
#include "fescueledge/inputbudget.h"
#include "fescueledge/socketaddress.h"
#include "readmessage_pvt.h"
#include "requestparser_pvt.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <optional>
#include <set>
#include <sys/socket.h>
#include <tuple>
#include <utility>

namespace fescueledge {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr int statusMalformed = 400;
constexpr int statusTooLarge = 413;
constexpr int statusHeaderTooLarge = 431;
constexpr int statusUnavailable = 503;
/// After an answer to an incomplete request, what still arrives is discarded for this time: closing a connection with
/// unread bytes resets it, and the client may lose the answer.
constexpr Milliseconds lingerTimeout{1000};
/// Wait after a failed accept: without a free descriptor, the next one fails at once.
constexpr Milliseconds acceptRetryDelay{50};
/// Bytes that the kernel may hold of a connection beside what has been read; it doubles the figure.
constexpr int receiveBufferBytes = 16384;
/// Bytes that the kernel may hold of answers that a client does not read; without it, some megabytes per connection.
constexpr int sendBufferBytes = 16384;
/// A body in chunks of one byte takes six times its length on the wire; a request that takes more is mostly overhead.
constexpr std::uint64_t maxOverheadFactor = 8;
/// Callers retry after this time when a request was refused for lack of memory: evictions free it at once.
constexpr std::chrono::seconds memoryRetryAfter{1};
constexpr std::size_t defaultInputMemory = 20971520;
constexpr std::size_t discardBytes = 4096; ///< Read and discarded at a time.
constexpr Milliseconds writeTimeout{5000}; ///< A client that reads nothing for this time is disconnected.

/// Whether @p ec says that what came is no HTTP, rather than that the connection ended.
bool isMalformed(const beast::error_code &ec)
{
    return ec.category() == http::make_error_code(http::error::bad_method).category()
        && ec != http::error::end_of_stream && ec != http::error::partial_message;
}

/// Sends `100 Continue` to a client that waits for it before it sends the body. False if the socket does not take it,
/// because the client has not read earlier answers.
bool sendContinue(tcp::socket *socket)
{
    static const std::string line = "HTTP/1.1 100 Continue\r\n\r\n";
    return ::send(socket->native_handle(), line.data(), line.size(), MSG_DONTWAIT | MSG_NOSIGNAL)
        == static_cast<ssize_t>(line.size());
}

} // namespace

class AsyncHttpServer::Impl : public std::enable_shared_from_this<AsyncHttpServer::Impl>
{
public:
    Impl(AsioLoop *loop, Handler handler)
        : budget(std::make_shared<InputBudget>(defaultInputMemory))
        , m_loop(loop)
        , m_handler(std::move(handler))
        , m_acceptor(loop->context())
    {
    }

    ~Impl()
    {
        for (const SessionPtr &session : m_sessions) {
            budget->remove(session->message);
        }
    }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    void listen(const std::string &address);
    void setLimits(const Limits &newLimits);
    void accept();
    void drain();
    void close()
    {
        boost::system::error_code ec;
        m_acceptor.close(ec);
    }

    Limits limits;
    HeaderCheck headerCheck;
    std::shared_ptr<InputBudget> budget;
    std::function<void(const char *)> rejected;
    std::size_t inFlight = 0;
    bool closing = false; ///< Responses carry `Connection: close`.

private:
    /// What happens on a connection.
    enum class Phase {
        Receiving, ///< Waiting for a request, or reading it.
        Handling,
        Answering,
        Discarding, ///< Closing, after the answer to an incomplete request.
    };

    /// One client connection.
    struct Session
    {
        explicit Session(tcp::socket socket)
            : stream(std::move(socket))
        {
        }

        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        std::optional<RequestParser> parser;
        http::response<http::string_body> response;
        Phase phase = Phase::Receiving;
        bool isClosed = false; ///< Operations that were in progress may still end with success.
        bool isHeaderChecked = false; ///< The header of the current request has been checked.
        std::uint64_t bytesRead = 0; ///< Of the current request.
        InputBudget::MessageId message = 0; ///< The current request in the budget; 0 if nothing of it has come.
        TimePoint beganAt{}; ///< When the first bytes of the current request came.
        bool hasServed = false; ///< A request has been answered on it, and it was kept.
        TimePoint servedAt{}; ///< When that was last, or when the connection was opened.
    };
    using SessionPtr = std::shared_ptr<Session>;

    void read(const SessionPtr &session);
    /// Puts the limits in force on a request whose headers are not complete.
    void applyLimits(Session *session) const;
    void onReceived(const SessionPtr &session, const beast::error_code &ec);
    /// Checks a request of which @p n more bytes have come. Whether its rest is to be read; if not, it was answered.
    bool proceed(const SessionPtr &session, std::size_t n);
    bool acceptHeader(const SessionPtr &session);
    /// Accounts for what the current request of @p session occupies; false if there is no memory for it.
    bool holdInput(const SessionPtr &session);
    void releaseInput(const SessionPtr &session)
    {
        budget->remove(session->message);
        session->message = 0;
    }
    /// Answers a request that exceeds a limit, and closes its connection.
    void refuse(const SessionPtr &session, int status, const char *reason);
    void reportRejection(const char *reason) const
    {
        if (rejected) {
            rejected(reason);
        }
    }
    /// Closes the connection that has gone without a served request for longest, first those that never had one.
    void closeLongestIdle();
    void dispatch(const SessionPtr &session);
    void write(const SessionPtr &session, const HttpReply &reply, bool keepAlive);
    /// Discards the rest of an incomplete request that has been answered, at most Limits::bodyBytes, then closes.
    void linger(const SessionPtr &session, std::size_t discarded);
    void closeSession(const SessionPtr &session)
    {
        if (session->isClosed) {
            return;
        }
        session->isClosed = true;
        boost::system::error_code ec;
        session->stream.socket().shutdown(tcp::socket::shutdown_send, ec);
        session->stream.close();
        releaseInput(session);
        m_sessions.erase(session);
    }

    AsioLoop *m_loop;
    Handler m_handler;
    tcp::acceptor m_acceptor;
    std::set<SessionPtr> m_sessions;
};

void AsyncHttpServer::Impl::listen(const std::string &address)
{
    const std::optional<SocketAddress> parsed = parseSocketAddress(address);
    if (!parsed) {
        throw Error(ErrorKind::InvalidSettings, "address '" + address + "' is not of the form ip:port");
    }
    const tcp::endpoint endpoint(asio::ip::make_address(parsed->ip), parsed->port);
    try {
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        // Connections inherit both.
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
        m_acceptor.set_option(asio::socket_base::send_buffer_size(sendBufferBytes));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
    } catch (const boost::system::system_error &error) {
        throw Error(ErrorKind::InvalidSettings, "cannot listen on " + address + ": " + error.what());
    }
    accept();
}

void AsyncHttpServer::Impl::accept()
{
    const std::shared_ptr<Impl> self = shared_from_this();
    m_acceptor.async_accept([self](const boost::system::error_code &ec, tcp::socket socket) {
        if (ec == asio::error::operation_aborted || !self->m_acceptor.is_open()) {
            return;
        }
        if (ec) {
            self->m_loop->postAfter(acceptRetryDelay, [self] {
                if (self->m_acceptor.is_open()) {
                    self->accept();
                }
            });
            return;
        }
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        if (self->m_sessions.size() >= self->limits.connections) {
            self->closeLongestIdle();
        }
        const SessionPtr session = std::make_shared<Session>(std::move(socket));
        session->servedAt = self->m_loop->now();
        self->m_sessions.insert(session);
        self->read(session);
        self->accept();
    });
}

void AsyncHttpServer::Impl::closeLongestIdle()
{
    const auto longest = [](const SessionPtr &a, const SessionPtr &b) {
        return std::make_tuple(a->phase == Phase::Handling, a->hasServed, a->servedAt)
            < std::make_tuple(b->phase == Phase::Handling, b->hasServed, b->servedAt);
    };
    const auto it = std::min_element(m_sessions.begin(), m_sessions.end(), longest);
    if (it != m_sessions.end()) {
        reportRejection("connections");
        closeSession(SessionPtr(*it));
    }
}

void AsyncHttpServer::Impl::setLimits(const Limits &newLimits)
{
    limits = newLimits;
    for (const SessionPtr &session : m_sessions) {
        if (session->phase == Phase::Receiving && !session->parser->is_header_done()) {
            applyLimits(session.get());
        }
    }
}

void AsyncHttpServer::Impl::applyLimits(Session *session) const
{
    session->buffer.max_size(limits.headerBytes + maxReadBytes); // Of trailers, all have to fit into it.
    session->parser->limitHeader(limits.headerBytes);
    session->parser->body_limit(limits.bodyBytes);
}

void AsyncHttpServer::Impl::read(const SessionPtr &session)
{
    session->phase = Phase::Receiving;
    session->parser.emplace();
    session->isHeaderChecked = false;
    session->bytesRead = 0;
    applyLimits(session.get());
    session->stream.expires_after(limits.idleTimeout);
    const std::shared_ptr<Impl> self = shared_from_this();
    readMessage(
        &session->stream, &session->buffer, &*session->parser,
        [self, session](std::size_t n) {
            return self->proceed(session, n);
        },
        [self, session](const beast::error_code &ec) {
            self->onReceived(session, ec);
        });
}

void AsyncHttpServer::Impl::onReceived(const SessionPtr &session, const beast::error_code &ec)
{
    if (session->isClosed) {
        return;
    }
    if (!ec) {
        dispatch(session);
    } else if (ec == http::error::body_limit) {
        refuse(session, statusTooLarge, "body");
    } else if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
        refuse(session, statusHeaderTooLarge, "header");
    } else if (isMalformed(ec)) {
        refuse(session, statusMalformed, "malformed");
    } else {
        if (ec == beast::error::timeout && session->message != 0) {
            reportRejection("timeout");
        }
        closeSession(session);
    }
}

bool AsyncHttpServer::Impl::proceed(const SessionPtr &session, std::size_t n)
{
    if (session->isClosed) {
        return false;
    }
    const bool isFirst = session->message == 0;
    if (isFirst) {
        session->beganAt = m_loop->now();
    }
    session->bytesRead += n;
    if (!holdInput(session)) {
        refuse(session, statusUnavailable, "memory");
        return false;
    }
    if (session->bytesRead > maxOverheadFactor * (limits.bodyBytes + limits.headerBytes)) {
        refuse(session, statusTooLarge, "overhead");
        return false;
    }
    if (session->isHeaderChecked) {
        return true;
    }
    if (!session->parser->is_header_done()) {
        if (isFirst) {
            session->stream.expires_at(session->beganAt + std::min(limits.headerTimeout, limits.messageTimeout));
        }
        return true;
    }
    session->isHeaderChecked = true;
    if (!acceptHeader(session) || session->isClosed) {
        return false;
    }
    if (!session->parser->is_done()) {
        session->stream.expires_at(session->beganAt + limits.messageTimeout);
        if (session->parser->expectsContinue() && !sendContinue(&session->stream.socket())) {
            reportRejection("unread");
            closeSession(session);
            return false;
        }
    }
    return true;
}

bool AsyncHttpServer::Impl::holdInput(const SessionPtr &session)
{
    const TimePoint now = m_loop->now();
    if (session->message == 0) {
        const std::weak_ptr<Session> weak = session;
        session->message = budget->add(now, [owner = weak_from_this(), weak] {
            const std::shared_ptr<Impl> self = owner.lock();
            const SessionPtr evicted = weak.lock();
            if (self && evicted) {
                self->reportRejection("evicted");
                self->closeSession(evicted);
            }
        });
    }
    return budget->hold(session->message, session->buffer.capacity() + session->parser->keptBytes(), now);
}

void AsyncHttpServer::Impl::refuse(const SessionPtr &session, int status, const char *reason)
{
    reportRejection(reason);
    session->parser->request().body = std::string();
    session->buffer.clear();
    session->buffer.shrink_to_fit();
    releaseInput(session);
    HttpReply reply;
    reply.status = status;
    reply.retryAfter = status == statusUnavailable ? memoryRetryAfter : std::chrono::seconds(0);
    write(session, reply, false);
}

bool AsyncHttpServer::Impl::acceptHeader(const SessionPtr &session)
{
    if (!headerCheck) {
        return true;
    }
    const std::optional<HttpReply> reply = headerCheck(session->parser->request());
    if (!reply) {
        return true;
    }
    write(session, *reply, session->parser->is_done() && session->parser->keep_alive());
    return false;
}

void AsyncHttpServer::Impl::dispatch(const SessionPtr &session)
{
    const HttpRequest request = std::move(session->parser->request());
    budget->pin(session->message);
    const bool keepAlive = session->parser->keep_alive();
    session->stream.expires_never();
    session->phase = Phase::Handling;
    ++inFlight;
    const std::shared_ptr<Impl> self = shared_from_this();
    const std::shared_ptr<bool> answered = std::make_shared<bool>(false);
    m_handler(request, [self, session, keepAlive, answered](const HttpReply &reply) {
        if (*answered) {
            return;
        }
        *answered = true;
        --self->inFlight;
        self->write(session, reply, keepAlive);
    });
}

void AsyncHttpServer::Impl::write(const SessionPtr &session, const HttpReply &reply, bool keepAlive)
{
    if (session->isClosed) {
        return;
    }
    session->phase = Phase::Answering;
    const bool hasMemory = reply.body.size() <= InputBudget::smallMessage
        || budget->hold(session->message, reply.body.size(), m_loop->now());
    const std::chrono::seconds retryAfter = hasMemory ? reply.retryAfter : memoryRetryAfter;
    session->response = {};
    session->response.version(11);
    session->response.result(static_cast<unsigned>(hasMemory ? reply.status : statusUnavailable));
    if (hasMemory) {
        if (!reply.contentType.empty()) {
            session->response.set(http::field::content_type, reply.contentType);
        }
        session->response.body() = reply.body;
    } else {
        reportRejection("memory");
    }
    if (retryAfter.count() > 0) {
        session->response.set(http::field::retry_after, std::to_string(retryAfter.count()));
    }
    session->response.keep_alive(keepAlive && !closing);
    session->response.prepare_payload();
    session->stream.expires_after(writeTimeout);
    const std::shared_ptr<Impl> self = shared_from_this();
    http::async_write(session->stream, session->response, [self, session](const beast::error_code &ec, std::size_t) {
        if (session->isClosed) {
            return;
        }
        session->response.body() = {};
        self->releaseInput(session);
        if (!ec && session->response.keep_alive()) {
            session->hasServed = true;
            session->servedAt = self->m_loop->now();
            self->read(session);
        } else if (!ec && (!session->parser->is_done() || session->buffer.size() > 0)) {
            boost::system::error_code ignored;
            session->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
            session->stream.expires_after(lingerTimeout);
            session->phase = Phase::Discarding;
            self->linger(session, 0);
        } else {
            if (ec == beast::error::timeout) {
                self->reportRejection("unread");
            }
            self->closeSession(session);
        }
    });
}

void AsyncHttpServer::Impl::linger(const SessionPtr &session, std::size_t discarded)
{
    session->parser.reset();
    session->buffer.clear();
    session->buffer.shrink_to_fit();
    const std::shared_ptr<Impl> self = shared_from_this();
    session->stream.async_read_some(session->buffer.prepare(discardBytes),
                                    [self, session, discarded](const beast::error_code &ec, std::size_t n) {
                                        if (ec || discarded + n > self->limits.bodyBytes) {
                                            self->closeSession(session);
                                        } else {
                                            self->linger(session, discarded + n);
                                        }
                                    });
}

void AsyncHttpServer::Impl::drain()
{
    closing = true;
    const std::set<SessionPtr> sessions = m_sessions;
    for (const SessionPtr &session : sessions) {
        if (session->phase == Phase::Receiving && session->message == 0 && session->buffer.size() == 0) {
            closeSession(session);
        }
    }
}

AsyncHttpServer::AsyncHttpServer(AsioLoop *loop, const std::string &address, Handler handler)
    : m_impl(std::make_shared<Impl>(loop, std::move(handler)))
{
    m_impl->listen(address);
}

AsyncHttpServer::~AsyncHttpServer()
{
    m_impl->close();
}

void AsyncHttpServer::setLimits(const Limits &limits)
{
    m_impl->setLimits(limits);
}

const AsyncHttpServer::Limits &AsyncHttpServer::limits() const
{
    return m_impl->limits;
}

void AsyncHttpServer::setInputBudget(std::shared_ptr<InputBudget> budget)
{
    m_impl->budget = std::move(budget);
}

void AsyncHttpServer::setRejectionHandler(std::function<void(const char *)> handler)
{
    m_impl->rejected = std::move(handler);
}

void AsyncHttpServer::setHeaderCheck(HeaderCheck check)
{
    m_impl->headerCheck = std::move(check);
}

std::size_t AsyncHttpServer::inFlight() const
{
    return m_impl->inFlight;
}

void AsyncHttpServer::drain()
{
    m_impl->drain();
}

void AsyncHttpServer::announceClose()
{
    m_impl->closing = true;
}

} // namespace fescueledge
