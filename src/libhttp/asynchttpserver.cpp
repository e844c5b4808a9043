#include "fescueledge/asynchttpserver.h"

#include "fescueledge/asioloop.h"
#include "fescueledge/error.h"
#include "fescueledge/inputbudget.h"
#include "fescueledge/inputturns.h"
#include "fescueledge/socketaddress.h"
#include "readmessage_pvt.h"
#include "requestparser_pvt.h"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
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
/// Connections that the kernel holds for this process to accept, each with received bytes that no limit counts.
constexpr int maxUnaccepted = 128;
/// Bytes that the kernel may hold of answers that a client does not read; without it, some megabytes per connection.
constexpr int sendBufferBytes = 16384;
/// A body in chunks of one byte takes six times its length on the wire; a request that takes more is mostly overhead.
constexpr std::uint64_t maxOverheadFactor = 8;
/// Callers retry after this time when a request was refused for lack of memory: evictions free it at once.
constexpr std::chrono::seconds memoryRetryAfter{1};
constexpr std::size_t defaultInputMemory = 20971520;
/// Reads of a turn at most: bytes that are read and can't be parsed yet don't count as read.
constexpr int maxReadsPerTurn = 32;
/// Units of work that a handler spends on a byte of a body or of an answer, compared with a byte that is parsed here.
constexpr std::size_t handlerUnitsPerByte = 8;
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
        , turns(std::make_shared<InputTurns>(loop))
        , m_loop(loop)
        , m_handler(std::move(handler))
        , m_acceptor(loop->context())
    {
    }

    ~Impl()
    {
        for (const SessionPtr &session : m_sessions) {
            budget->remove(session->message);
            turns->cancel(session.get());
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
    std::shared_ptr<InputTurns> turns;
    std::function<void(const char *)> rejected;
    std::size_t inFlight = 0;
    std::uint64_t parsedBytes = 0;
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
            , timer(stream.get_executor())
        {
        }

        beast::tcp_stream stream;
        asio::steady_timer timer; ///< Runs while input is awaited.
        TimePoint deadline{}; ///< When that ends.
        TimePoint timerEnd = TimePoint::max(); ///< When the timer expires, not after the deadline; max() if it is off.
        beast::flat_buffer buffer;
        std::optional<RequestParser> parser;
        http::response<http::string_body> response;
        Phase phase = Phase::Receiving;
        bool isReadable = false; ///< Bytes have come, or the end of the connection, and have not been read.
        bool isClosed = false; ///< Operations that were in progress may still end with success.
        bool isHeaderChecked = false; ///< The header of the current request has been checked.
        std::uint64_t bytesRead = 0; ///< Of the current request, or discarded since it was answered.
        InputBudget::MessageId message = 0; ///< The current request in the budget; 0 if nothing of it has come.
        TimePoint beganAt{}; ///< When the first bytes of the current request came.
        bool hasServed = false; ///< A request has been answered on it, and it was kept.
        TimePoint servedAt{}; ///< When that was last, or when the connection was opened.
    };
    using SessionPtr = std::shared_ptr<Session>;

    /// Waits for a request and reads it.
    void read(const SessionPtr &session);
    /// Waits until bytes have come, or the connection has ended, then for a turn to read them.
    void awaitInput(const SessionPtr &session);
    void requestTurn(const SessionPtr &session);
    void takeTurn(const SessionPtr &session);
    /// Reads what has come into the buffer; false if nothing is to be parsed.
    bool receive(const SessionPtr &session);
    /// Parses what is in the buffer; whether more of the request is to be read.
    bool parse(const SessionPtr &session);
    void setDeadline(const SessionPtr &session, TimePoint deadline);
    void awaitDeadline(const SessionPtr &session);
    void onDeadline(const SessionPtr &session);
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
    void linger(const SessionPtr &session);
    void discard(const SessionPtr &session);
    void closeSession(const SessionPtr &session)
    {
        if (session->isClosed) {
            return;
        }
        session->isClosed = true;
        turns->cancel(session.get());
        session->timer.cancel();
        boost::system::error_code ec;
        session->stream.socket().shutdown(tcp::socket::shutdown_send, ec);
        session->stream.close();
        if (session->phase != Phase::Handling) { // The handler still has the request, until it answers.
            releaseInput(session);
        }
        m_sessions.erase(session);
    }

    AsioLoop *m_loop;
    Handler m_handler;
    tcp::acceptor m_acceptor;
    std::set<SessionPtr> m_sessions;
    std::array<char, maxReadBytes> m_discarded{}; ///< Where discarded bytes of all connections are read to.
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
        m_acceptor.listen(maxUnaccepted);
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
        socket.non_blocking(true, ignored); // A read within a turn must not wait.
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
    session->parser->eager(true);
    session->isHeaderChecked = false;
    session->bytesRead = 0;
    applyLimits(session.get());
    setDeadline(session, m_loop->now() + limits.idleTimeout);
    if (session->buffer.size() > 0) {
        requestTurn(session);
    } else {
        awaitInput(session);
    }
}

void AsyncHttpServer::Impl::awaitInput(const SessionPtr &session)
{
    const std::shared_ptr<Impl> self = shared_from_this();
    session->stream.socket().async_wait(tcp::socket::wait_read, [self, session](const beast::error_code &ec) {
        if (session->isClosed) {
            return;
        }
        if (ec) {
            self->onReceived(session, ec);
            return;
        }
        session->isReadable = true;
        self->requestTurn(session);
    });
}

void AsyncHttpServer::Impl::requestTurn(const SessionPtr &session)
{
    turns->request(session.get(), session->bytesRead, [weak = weak_from_this(), session] {
        const std::shared_ptr<Impl> self = weak.lock();
        if (self && !session->isClosed) {
            self->takeTurn(session);
        }
    });
}

void AsyncHttpServer::Impl::takeTurn(const SessionPtr &session)
{
    if (session->phase == Phase::Discarding) {
        discard(session);
        return;
    }
    const std::uint64_t turnEnd = session->bytesRead + chunkedReadBytes;
    bool needsMore = session->isReadable || parse(session);
    for (int reads = 0; needsMore && reads < maxReadsPerTurn && session->bytesRead < turnEnd; ++reads) {
        needsMore = receive(session) && parse(session);
    }
    if (needsMore) {
        awaitInput(session);
    }
}

bool AsyncHttpServer::Impl::receive(const SessionPtr &session)
{
    session->isReadable = false;
    const std::size_t room = readSize(session->buffer);
    if (room == 0) {
        onReceived(session, http::error::buffer_overflow);
        return false;
    }
    beast::error_code ec;
    const std::size_t n = session->stream.socket().read_some(session->buffer.prepare(room), ec);
    if (ec == asio::error::would_block) {
        awaitInput(session);
        return false;
    }
    if (ec) {
        onReceived(session, ec == asio::error::eof ? endOfStream(&*session->parser) : ec);
        return false;
    }
    session->buffer.commit(n);
    return true;
}

bool AsyncHttpServer::Impl::parse(const SessionPtr &session)
{
    beast::error_code ec;
    const std::size_t n = parsePiece(&session->buffer, &*session->parser, &ec);
    turns->charge(n);
    parsedBytes += n;
    if (!ec && !proceed(session, n)) {
        return false;
    }
    if (!ec && !session->parser->is_done()) {
        return true;
    }
    trimBuffer(&session->buffer);
    onReceived(session, ec);
    return false;
}

void AsyncHttpServer::Impl::setDeadline(const SessionPtr &session, TimePoint deadline)
{
    session->deadline = deadline;
    if (deadline < session->timerEnd) { // Otherwise it expires first, and is then set to the rest.
        awaitDeadline(session);
    }
}

void AsyncHttpServer::Impl::awaitDeadline(const SessionPtr &session)
{
    session->timerEnd = session->deadline;
    session->timer.expires_at(session->deadline);
    const std::shared_ptr<Impl> self = shared_from_this();
    session->timer.async_wait([self, session](const boost::system::error_code &ec) {
        if (!ec && !session->isClosed) {
            session->timerEnd = TimePoint::max();
            self->onDeadline(session);
        }
    });
}

void AsyncHttpServer::Impl::onDeadline(const SessionPtr &session)
{
    const bool isAwaitingInput = session->phase == Phase::Receiving || session->phase == Phase::Discarding;
    if (!isAwaitingInput) {
        return; // The next request sets it again.
    }
    if (m_loop->now() < session->deadline) {
        awaitDeadline(session);
        return;
    }
    if (session->phase == Phase::Receiving && session->message != 0) {
        reportRejection("timeout");
    }
    closeSession(session);
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
            setDeadline(session, session->beganAt + std::min(limits.headerTimeout, limits.messageTimeout));
        }
        return true;
    }
    session->isHeaderChecked = true;
    if (!acceptHeader(session) || session->isClosed) {
        return false;
    }
    if (!session->parser->is_done()) {
        setDeadline(session, session->beganAt + limits.messageTimeout);
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
    if (inFlight >= limits.connections) {
        refuse(session, statusUnavailable, "requests");
        return;
    }
    const HttpRequest request = std::move(session->parser->request());
    turns->charge(handlerUnitsPerByte * request.body.size());
    budget->hold(session->message, session->buffer.capacity() + request.body.capacity(), m_loop->now());
    budget->pin(session->message);
    const bool keepAlive = session->parser->keep_alive();
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
        if (session->isClosed) {
            self->releaseInput(session);
        }
        self->write(session, reply, keepAlive);
    });
}

void AsyncHttpServer::Impl::write(const SessionPtr &session, const HttpReply &reply, bool keepAlive)
{
    if (session->isClosed) {
        return;
    }
    session->phase = Phase::Answering;
    turns->charge(handlerUnitsPerByte * reply.body.size());
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
            self->linger(session);
        } else {
            if (ec == beast::error::timeout) {
                self->reportRejection("unread");
            }
            self->closeSession(session);
        }
    });
}

void AsyncHttpServer::Impl::linger(const SessionPtr &session)
{
    session->phase = Phase::Discarding;
    session->bytesRead = 0;
    session->parser.reset();
    session->buffer.clear();
    session->buffer.shrink_to_fit();
    boost::system::error_code ignored;
    session->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    setDeadline(session, m_loop->now() + lingerTimeout);
    awaitInput(session);
}

void AsyncHttpServer::Impl::discard(const SessionPtr &session)
{
    beast::error_code ec;
    const std::size_t n = session->stream.socket().read_some(asio::buffer(m_discarded), ec);
    session->bytesRead += n;
    if ((ec && ec != asio::error::would_block) || session->bytesRead > limits.bodyBytes) {
        closeSession(session);
    } else {
        awaitInput(session);
    }
}

void AsyncHttpServer::Impl::drain()
{
    closing = true;
    const std::set<SessionPtr> sessions = m_sessions;
    for (const SessionPtr &session : sessions) {
        const bool isIdle = session->phase == Phase::Receiving && session->message == 0 && session->buffer.size() == 0
            && !turns->isWaiting(session.get());
        if (isIdle) {
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

void AsyncHttpServer::setInputTurns(std::shared_ptr<InputTurns> turns)
{
    m_impl->turns = std::move(turns);
}

void AsyncHttpServer::setRejectionHandler(std::function<void(const char *)> handler)
{
    m_impl->rejected = std::move(handler);
}

void AsyncHttpServer::setHeaderCheck(HeaderCheck check)
{
    m_impl->headerCheck = std::move(check);
}

std::uint64_t AsyncHttpServer::parsedBytes() const
{
    return m_impl->parsedBytes;
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
