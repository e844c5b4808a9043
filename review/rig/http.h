// A small HTTP/1.1 server and client for the stand-ins: one thread, one loop, answers may come later.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace rig {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using nlohmann::json;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

/// Calls @p f once after @p delay.
inline void after(asio::io_context &io, Ms delay, std::function<void()> f)
{
    auto timer = std::make_shared<asio::steady_timer>(io, delay);
    timer->async_wait([timer, f](const boost::system::error_code &ec) {
        if (!ec) {
            f();
        }
    });
}

inline std::string urlDecode(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

struct Request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string expectInstance;
    std::string body;

    std::string get(const std::string &name) const
    {
        const auto it = query.find(name);
        return it == query.end() ? std::string() : it->second;
    }
};

class Server : public std::enable_shared_from_this<Server>
{
public:
    /// Answers a request; without a status the connection is closed.
    using Responder = std::function<void(int, const json &)>;
    using Handler = std::function<void(const Request &, const Responder &)>;

    Server(asio::io_context &io, const std::string &ip, unsigned short port, Handler handler)
        : m_io(io)
        , m_acceptor(io)
        , m_handler(std::move(handler))
    {
        const tcp::endpoint endpoint(asio::ip::make_address(ip), port);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen(1024);
    }
    void start()
    {
        accept();
    }
    /// Closes the listener and resets all connections, as the end of a process does.
    void stop()
    {
        boost::system::error_code ec;
        m_acceptor.close(ec);
        const std::set<std::shared_ptr<Session>> sessions = m_sessions;
        for (const std::shared_ptr<Session> &session : sessions) {
            drop(session);
        }
    }

private:
    struct Session
    {
        explicit Session(tcp::socket socket)
            : stream(std::move(socket))
        {
        }
        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        std::unique_ptr<http::request_parser<http::string_body>> parser;
        http::response<http::string_body> response;
    };
    using SessionPtr = std::shared_ptr<Session>;

    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](const boost::system::error_code &ec, tcp::socket socket) {
            if (!self->m_acceptor.is_open()) {
                return;
            }
            if (!ec) {
                boost::system::error_code ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                const SessionPtr session = std::make_shared<Session>(std::move(socket));
                self->m_sessions.insert(session);
                self->read(session);
            }
            self->accept();
        });
    }
    void read(const SessionPtr &session)
    {
        session->parser = std::make_unique<http::request_parser<http::string_body>>();
        session->parser->body_limit(16U << 20U);
        http::async_read(session->stream, session->buffer, *session->parser,
                         [self = shared_from_this(), session](const beast::error_code &ec, std::size_t) {
                             if (ec) {
                                 self->drop(session);
                             } else {
                                 self->handle(session);
                             }
                         });
    }
    void handle(const SessionPtr &session)
    {
        const auto &message = session->parser->get();
        Request request;
        request.method = std::string(message.method_string());
        const std::string target(message.target());
        const std::size_t mark = target.find('?');
        request.path = target.substr(0, mark);
        for (std::size_t at = mark; at != std::string::npos;) {
            const std::size_t next = target.find('&', at + 1);
            const std::string pair = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
            const std::size_t equals = pair.find('=');
            if (equals != std::string::npos) {
                request.query[pair.substr(0, equals)] = urlDecode(pair.substr(equals + 1));
            }
            at = next;
        }
        request.expectInstance = std::string(message["X-Expect-Instance"]);
        request.body = message.body();
        m_handler(request, [self = shared_from_this(), session](int status, const json &body) {
            if (status == 0) {
                self->drop(session);
            } else {
                self->write(session, status, body);
            }
        });
    }
    void write(const SessionPtr &session, int status, const json &body)
    {
        if (m_sessions.count(session) == 0) {
            return;
        }
        session->response = {};
        session->response.version(11);
        session->response.result(static_cast<unsigned>(status));
        session->response.set(http::field::content_type, "application/json");
        session->response.body() = body.is_null() ? std::string() : body.dump();
        session->response.keep_alive(true);
        session->response.prepare_payload();
        http::async_write(session->stream, session->response,
                          [self = shared_from_this(), session](const beast::error_code &ec, std::size_t) {
                              if (ec) {
                                  self->drop(session);
                              } else {
                                  self->read(session);
                              }
                          });
    }
    void drop(const SessionPtr &session)
    {
        boost::system::error_code ec;
        session->stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
        session->stream.socket().close(ec);
        m_sessions.erase(session);
    }

    asio::io_context &m_io;
    tcp::acceptor m_acceptor;
    Handler m_handler;
    std::set<SessionPtr> m_sessions;
};

/// Makes one call on a connection of its own. @p done gets the status, 0 without an answer, and the body.
inline void call(asio::io_context &io, const std::string &ip, unsigned short port, const std::string &method,
                 const std::string &target, const std::string &host, const json &body, Ms timeout,
                 std::function<void(int, const json &)> done)
{
    struct State
    {
        explicit State(asio::io_context &io)
            : stream(io)
        {
        }
        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        http::request<http::string_body> request;
        http::response<http::string_body> response;
    };
    auto state = std::make_shared<State>(io);
    state->request.version(11);
    state->request.method_string(method);
    state->request.target(target);
    state->request.set(http::field::host, host);
    state->request.set("X-Deadline-Ms", std::to_string(timeout.count()));
    state->request.set(http::field::connection, "close");
    if (!body.is_null()) {
        state->request.set(http::field::content_type, "application/json");
        state->request.body() = body.dump();
    }
    state->request.prepare_payload();
    state->stream.expires_after(timeout);
    state->stream.async_connect(
        tcp::endpoint(asio::ip::make_address(ip), port), [state, done](const beast::error_code &connected) {
            if (connected) {
                done(0, json());
                return;
            }
            http::async_write(state->stream, state->request, [state, done](const beast::error_code &sent, std::size_t) {
                if (sent) {
                    done(0, json());
                    return;
                }
                http::async_read(state->stream, state->buffer, state->response,
                                 [state, done](const beast::error_code &read, std::size_t) {
                                     if (read) {
                                         done(0, json());
                                         return;
                                     }
                                     const std::string &text = state->response.body();
                                     json reply = json::parse(text, nullptr, false);
                                     done(static_cast<int>(state->response.result_int()),
                                          reply.is_discarded() ? json() : reply);
                                 });
            });
        });
}

} // namespace rig
