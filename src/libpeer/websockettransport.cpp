#include "fescueledge/websockettransport.h"

#include "fescueledge/digest.h"
#include "fescueledge/error.h"
#include "fescueledge/loop.h"
#include "peercalls_pvt.h"
#include "peerframe_pvt.h"

#include <algorithm>
#include <atomic>
#include <glog/logging.h>
#include <list>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace fescueledge {

namespace {

using WsServer = websocketpp::server<websocketpp::config::asio>;
using WsClient = websocketpp::client<websocketpp::config::asio_client>;
using Handle = websocketpp::connection_hdl;

constexpr const char *tokenHeader = "X-Fescueledge-Peer-Token";
constexpr std::size_t maxMessageBytes = 32U << 20U;
constexpr std::size_t maxQueuedFrames = 4096;
constexpr int openTimeoutMs = 1000;
/// Connections that have not presented the token yet. After a takeover all nodes of a deployment, some hundreds, may
/// open theirs to the new coordinator at once, and that may be a slow node.
constexpr std::size_t maxHandshakes = 400;
/// The other end's network thread answers a ping within a few milliseconds, also while its loop is busy.
constexpr int pongTimeoutMs = 500;

/// Splits `ip:port`.
std::pair<std::string, std::string> splitAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        throw Error(ErrorKind::InvalidSettings, "address '" + address + "' is not of the form ip:port");
    }
    return {address.substr(0, colon), address.substr(colon + 1)};
}

template<typename Endpoint>
void configure(Endpoint *endpoint, asio::io_context *io)
{
    endpoint->clear_access_channels(websocketpp::log::alevel::all);
    endpoint->clear_error_channels(websocketpp::log::elevel::all);
    endpoint->init_asio(io);
    endpoint->set_max_message_size(maxMessageBytes);
    endpoint->set_tcp_pre_init_handler([](const Handle &) {});
}

} // namespace

/// All websocketpp calls run on one network thread; call(), reply handlers and receivers run on the loop.
class WebsocketTransport::Impl : public std::enable_shared_from_this<WebsocketTransport::Impl>
{
public:
    Impl(Loop *loop, NodeId self, std::string token)
        : m_loop(loop)
        , m_self(std::move(self))
        , m_token(std::move(token))
        , m_calls(std::make_shared<PeerCalls>())
    {
    }

    void listen(const std::string &address)
    {
        configure(&m_server, &m_io);
        configure(&m_client, &m_io);
        m_server.set_reuse_addr(true);
        m_client.set_open_handshake_timeout(openTimeoutMs);
        m_server.set_open_handshake_timeout(openTimeoutMs);
        // A body would be read into memory before the token is checked.
        m_server.set_max_http_body_size(0);
        m_server.set_tcp_pre_init_handler([this](const Handle &handle) {
            addHandshake(handle);
        });
        m_server.set_fail_handler([this](const Handle &handle) {
            removeHandshake(handle);
        });
        m_server.set_validate_handler([this](const Handle &handle) {
            const WsServer::connection_ptr connection = m_server.get_con_from_hdl(handle);
            return equalSecrets(connection->get_request_header(tokenHeader), m_token);
        });
        m_server.set_open_handler([this](const Handle &handle) {
            removeHandshake(handle);
            setNoDelay(m_server.get_con_from_hdl(handle)->get_raw_socket());
        });
        m_server.set_message_handler([this](const Handle &handle, const WsServer::message_ptr &message) {
            onServerMessage(handle, message->get_payload());
        });
        const auto [host, port] = splitAddress(address);
        websocketpp::lib::error_code ec;
        m_server.listen(host, port, ec);
        if (ec) {
            throw Error(ErrorKind::InvalidSettings, "cannot listen for peers on " + address + ": " + ec.message());
        }
        m_server.start_accept();
        m_work = std::make_unique<Work>(asio::make_work_guard(m_io));
        m_thread = std::thread([this] {
            m_io.run();
        });
    }

    void stop()
    {
        m_io.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
        m_work.reset();
    }

    void call(const NodeId &to, const PeerMessage &message, Milliseconds timeout, ReplyHandler handler)
    {
        if (to == m_self) {
            callSelf(m_calls->add(timeout, std::move(handler), m_loop, m_calls), message);
            return;
        }
        const std::string address = m_lookup ? m_lookup(to) : std::string();
        const std::weak_ptr<Impl> weak = weak_from_this();
        const auto onResult = [weak, address, handler = std::move(handler)](const PeerResult &result) {
            const std::shared_ptr<Impl> transport = weak.lock();
            if (transport && !result.answered && !address.empty()) {
                asio::post(transport->m_io, [transport, address] {
                    transport->probe(address);
                });
            }
            handler(result);
        };
        const std::uint64_t id = m_calls->add(timeout, onResult, m_loop, m_calls);
        if (address.empty()) {
            return;
        }
        const std::string bytes = encodeFrame(PeerFrame{id, false, m_self, message});
        const std::shared_ptr<Impl> self = shared_from_this();
        asio::post(m_io, [self, address, bytes] {
            self->sendTo(address, bytes);
        });
    }

    void setLookup(AddressLookup lookup)
    {
        m_lookup = std::move(lookup);
    }

    void setRejectionHandler(RejectionHandler handler)
    {
        m_rejected = std::move(handler);
    }

    PeerCalls *calls()
    {
        return m_calls.get();
    }

    std::atomic<std::uint64_t> bytesSent{0};
    std::atomic<std::uint64_t> messagesSent{0};

private:
    using Work = asio::executor_work_guard<asio::io_context::executor_type>;

    /// An outgoing connection and the frames that are queued until it is open. Used on the network thread only.
    struct Link
    {
        WsClient::connection_ptr connection;
        bool open = false;
        bool isProbed = false; ///< A ping has been sent and not yet answered.
        std::vector<std::string> queued;
    };

    template<typename Socket>
    static void setNoDelay(Socket &socket)
    {
        asio::error_code ec;
        socket.set_option(asio::ip::tcp::no_delay(true), ec);
    }

    /// Closes the connection that has gone without presenting the token for longest if there are too many of them.
    void addHandshake(const Handle &handle)
    {
        if (m_handshakes.size() >= maxHandshakes) {
            const Handle oldest = m_handshakes.front();
            m_handshakes.pop_front();
            websocketpp::lib::error_code ec;
            const WsServer::connection_ptr connection = m_server.get_con_from_hdl(oldest, ec);
            if (connection) {
                m_loop->post([weak = weak_from_this()] {
                    const std::shared_ptr<Impl> self = weak.lock();
                    if (self && self->m_rejected) {
                        self->m_rejected("handshakes");
                    }
                });
                connection->terminate(websocketpp::error::make_error_code(websocketpp::error::open_handshake_timeout));
            }
        }
        m_handshakes.push_back(handle);
    }

    void removeHandshake(const Handle &handle)
    {
        const auto it = std::find_if(m_handshakes.begin(), m_handshakes.end(), [&handle](const Handle &known) {
            return !known.owner_before(handle) && !handle.owner_before(known);
        });
        if (it != m_handshakes.end()) {
            m_handshakes.erase(it);
        }
    }

    void callSelf(std::uint64_t id, const PeerMessage &message)
    {
        const std::shared_ptr<PeerCalls> calls = m_calls;
        Loop *loop = m_loop;
        const NodeId self = m_self;
        loop->post([calls, loop, self, id, message] {
            calls->deliver(self, message, [calls, loop, id](const PeerMessage &reply) {
                loop->post([calls, id, reply] {
                    calls->finish(id, PeerResult{true, reply});
                });
            });
        });
    }

    void sendTo(const std::string &address, const std::string &bytes)
    {
        Link &link = m_links[address];
        if (!link.connection) {
            openLink(address, &link);
        }
        if (link.open) {
            write(&m_client, link.connection->get_handle(), bytes);
        } else if (link.queued.size() < maxQueuedFrames) {
            link.queued.push_back(bytes);
        }
    }

    void openLink(const std::string &address, Link *link)
    {
        websocketpp::lib::error_code ec;
        const WsClient::connection_ptr connection = m_client.get_connection("ws://" + address + "/peer", ec);
        if (ec) {
            LOG(WARNING) << "peer_link_failed address=" << address << " detail=" << ec.message();
            return;
        }
        link->connection = connection;
        connection->append_header(tokenHeader, m_token);
        connection->set_open_handler([this, address](const Handle &) {
            onOpen(address);
        });
        connection->set_fail_handler([this, address](const Handle &handle) {
            eraseLink(address, handle);
        });
        connection->set_close_handler([this, address](const Handle &handle) {
            eraseLink(address, handle);
        });
        connection->set_pong_timeout(pongTimeoutMs);
        connection->set_pong_handler([this, address](const Handle &handle, const std::string &) {
            if (Link *link = findLink(address, handle)) {
                link->isProbed = false;
            }
        });
        connection->set_pong_timeout_handler([this, address](const Handle &handle, const std::string &) {
            onSilent(address, handle);
        });
        connection->set_message_handler([this](const Handle &, const WsClient::message_ptr &message) {
            onReply(message->get_payload());
        });
        m_client.connect(connection);
    }

    /// The link to @p address if @p handle is its connection; nullptr if another one has replaced that.
    Link *findLink(const std::string &address, const Handle &handle)
    {
        const auto it = m_links.find(address);
        const bool isCurrent =
            it != m_links.end() && it->second.connection && it->second.connection == m_client.get_con_from_hdl(handle);
        return isCurrent ? &it->second : nullptr;
    }

    void eraseLink(const std::string &address, const Handle &handle)
    {
        if (findLink(address, handle) != nullptr) {
            m_links.erase(address);
        }
    }

    /// Pings the other end of a link on which a call was not answered: the connection may have gone silent for good.
    void probe(const std::string &address)
    {
        const auto it = m_links.find(address);
        if (it == m_links.end() || !it->second.open || it->second.isProbed) {
            return;
        }
        it->second.isProbed = true;
        websocketpp::lib::error_code ec;
        it->second.connection->ping(std::string(), ec);
        if (ec) {
            LOG(WARNING) << "peer_ping_failed address=" << address << " detail=" << ec.message();
        }
    }

    /// Gives up a connection that does not answer a ping. The next call opens another one.
    void onSilent(const std::string &address, const Handle &handle)
    {
        const Link *link = findLink(address, handle);
        if (link == nullptr) {
            return;
        }
        LOG(WARNING) << "peer_link_silent address=" << address << " outcome=closed";
        const WsClient::connection_ptr connection = link->connection;
        m_links.erase(address);
        connection->terminate(websocketpp::lib::error_code());
    }

    void onOpen(const std::string &address)
    {
        const auto it = m_links.find(address);
        if (it == m_links.end()) {
            return;
        }
        Link &link = it->second;
        setNoDelay(link.connection->get_raw_socket());
        link.open = true;
        std::vector<std::string> queued;
        queued.swap(link.queued);
        for (const std::string &bytes : queued) {
            write(&m_client, link.connection->get_handle(), bytes);
        }
    }

    template<typename Endpoint>
    void write(Endpoint *endpoint, const Handle &handle, const std::string &bytes)
    {
        websocketpp::lib::error_code ec;
        endpoint->send(handle, bytes, websocketpp::frame::opcode::binary, ec);
        if (!ec) {
            bytesSent += bytes.size();
            ++messagesSent;
        }
    }

    void onReply(const std::string &bytes)
    {
        PeerFrame frame;
        if (!decodeFrame(bytes, &frame) || !frame.isReply) {
            return;
        }
        const std::shared_ptr<PeerCalls> calls = m_calls;
        m_loop->post([calls, frame] {
            calls->finish(frame.id, PeerResult{true, frame.message});
        });
    }

    void onServerMessage(const Handle &handle, const std::string &bytes)
    {
        PeerFrame frame;
        if (!decodeFrame(bytes, &frame) || frame.isReply) {
            return;
        }
        const std::shared_ptr<Impl> self = shared_from_this();
        const std::uint64_t id = frame.id;
        const Responder respond = [self, handle, id](const PeerMessage &reply) {
            const std::string out = encodeFrame(PeerFrame{id, true, self->m_self, reply});
            asio::post(self->m_io, [self, handle, out] {
                self->write(&self->m_server, handle, out);
            });
        };
        m_loop->post([self, frame, respond] {
            self->m_calls->deliver(frame.from, frame.message, respond);
        });
    }

    Loop *m_loop;
    NodeId m_self;
    std::string m_token;
    std::shared_ptr<PeerCalls> m_calls;
    AddressLookup m_lookup;
    RejectionHandler m_rejected; ///< Used on the loop only.

    asio::io_context m_io;
    std::unique_ptr<Work> m_work;
    WsServer m_server;
    WsClient m_client;
    std::map<std::string, Link> m_links;
    std::list<Handle> m_handshakes; ///< Incoming connections without a token so far, the oldest first.
    std::thread m_thread;
};

WebsocketTransport::WebsocketTransport(Loop *loop, const NodeId &self, const std::string &listenAddress,
                                       const std::string &token)
    : m_impl(std::make_shared<Impl>(loop, self, token))
{
    m_impl->listen(listenAddress);
}

WebsocketTransport::~WebsocketTransport()
{
    m_impl->stop();
}

void WebsocketTransport::setAddressLookup(AddressLookup lookup)
{
    m_impl->setLookup(std::move(lookup));
}

void WebsocketTransport::setRejectionHandler(RejectionHandler handler)
{
    m_impl->setRejectionHandler(std::move(handler));
}

void WebsocketTransport::call(const NodeId &to, const PeerMessage &message, Milliseconds timeout, ReplyHandler handler)
{
    m_impl->call(to, message, timeout, std::move(handler));
}

void WebsocketTransport::setReceiver(const std::string &kind, Receiver receiver)
{
    m_impl->calls()->setReceiver(kind, std::move(receiver));
}

std::uint64_t WebsocketTransport::bytesSent() const
{
    return m_impl->bytesSent;
}

std::uint64_t WebsocketTransport::messagesSent() const
{
    return m_impl->messagesSent;
}

} // namespace fescueledge
