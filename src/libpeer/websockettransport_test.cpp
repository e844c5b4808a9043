#include "fescueledge/websockettransport.h"

#include "fescueledge/error.h"
#include "fescueledge/eventloop.h"
#include "fescueledge/testing/rawclient.h"
#include "fescueledge/testing/silencingproxy.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <memory>
#include <thread>
#include <vector>

using namespace fescueledge;

namespace {

/// A node that replies to `echo` with the sender and the body of the call.
struct EchoNode
{
    EchoNode(const std::string &name, int port, const std::string &token)
        : address("127.0.0.1:" + std::to_string(port))
        , transport(&loop, name, address, token)
    {
        transport.setReceiver(
            "echo", [](const NodeId &from, const PeerMessage &message, const PeerTransport::Responder &respond) {
                respond(PeerMessage{"echo", {{"from", from}, {"body", message.body}}});
            });
    }

    PeerResult call(const NodeId &to, const nlohmann::json &body, Milliseconds timeout)
    {
        std::promise<PeerResult> promise;
        loop.post([this, &promise, to, body, timeout] {
            transport.call(to, PeerMessage{"echo", body}, timeout, [&promise](const PeerResult &result) {
                promise.set_value(result);
            });
        });
        return promise.get_future().get();
    }

    void connectTo(const std::string &peerAddress)
    {
        transport.setAddressLookup([peerAddress](const NodeId &) {
            return peerAddress;
        });
    }

    std::string address;
    EventLoop loop;
    WebsocketTransport transport;
};

constexpr Milliseconds longTimeout{5000};
constexpr Milliseconds shortTimeout{300};
/// A link that is silent is given up this soon after a call on it had no reply.
constexpr Milliseconds replaceLimit{1000};

} // namespace

TEST_CASE("a call reaches another node and gets its reply")
{
    EchoNode a("a", 22601, "secret");
    EchoNode b("b", 22602, "secret");
    a.connectTo(b.address);

    for (int i = 0; i < 20; ++i) {
        const PeerResult result = a.call("b", i, longTimeout);
        REQUIRE(result.answered);
        CHECK(result.reply.body == nlohmann::json({{"from", "a"}, {"body", i}}));
    }
    CHECK(a.transport.messagesSent() == 20);
}

TEST_CASE("a node can call itself")
{
    EchoNode a("a", 22603, "secret");
    CHECK(a.call("a", "hello", longTimeout).answered);
}

TEST_CASE("a call to an unreachable node times out, and a call after the node has started succeeds")
{
    EchoNode a("a", 22604, "secret");
    a.connectTo("127.0.0.1:22605");
    CHECK_FALSE(a.call("b", 1, shortTimeout).answered);

    EchoNode b("b", 22605, "secret");
    CHECK(a.call("b", 2, longTimeout).answered);
}

TEST_CASE("a call with a wrong token gets no reply")
{
    EchoNode a("a", 22606, "guess");
    EchoNode b("b", 22607, "secret");
    a.connectTo(b.address);
    CHECK_FALSE(a.call("b", 1, shortTimeout).answered);
}

TEST_CASE("listening on an address in use throws InvalidSettings")
{
    EchoNode a("a", 22608, "secret");
    EventLoop loop;
    try {
        WebsocketTransport second(&loop, "b", "127.0.0.1:22608", "secret");
        FAIL("listened twice");
    } catch (const Error &error) {
        CHECK(error.kind() == ErrorKind::InvalidSettings);
    }
}

// Guards against two nodes that never hear of each other again, because a connection between them went silent without
// being closed, and all later calls went out on it.
TEST_CASE("a connection that goes silent for good is replaced after a call on it had no reply")
{
    EchoNode a("a", 22609, "secret");
    EchoNode b("b", 22610, "secret");
    SilencingProxy proxy(22611, 22610);
    a.connectTo(proxy.address());
    for (int round = 0; round < 3; ++round) {
        REQUIRE(a.call("b", round, longTimeout).answered);
        REQUIRE(proxy.silence() == 1);
        CHECK_FALSE(a.call("b", round, shortTimeout).answered);
        std::this_thread::sleep_for(replaceLimit);
        CHECK(a.call("b", round, shortTimeout).answered);
    }
}

// Guards against a healthy connection that is replaced, with the calls that are under way on it, because one call was
// answered late.
TEST_CASE("a connection over which a call is answered late is kept")
{
    EchoNode a("a", 22612, "secret");
    EchoNode b("b", 22613, "secret");
    SilencingProxy proxy(22614, 22613);
    a.connectTo(proxy.address());
    b.transport.setReceiver("echo",
                            [](const NodeId &, const PeerMessage &message, const PeerTransport::Responder &respond) {
                                std::this_thread::sleep_for(2 * shortTimeout);
                                respond(message);
                            });
    CHECK_FALSE(a.call("b", 1, shortTimeout).answered);
    std::this_thread::sleep_for(replaceLimit);
    CHECK(a.call("b", 2, longTimeout).answered);
    CHECK(proxy.accepted() == 1);
}

// Guards against clients without the token that take up descriptors until the node has none, and against nodes that
// can't reach each other while such clients stay.
TEST_CASE("a crowd of connections without a token is bounded, and peers still reach the node")
{
    constexpr int crowd = 600;
    EchoNode a("a", 22615, "secret");
    EchoNode b("b", 22616, "secret");
    a.connectTo(b.address);
    std::atomic<int> rejected{0};
    b.loop.post([&b, &rejected] {
        b.transport.setRejectionHandler([&rejected](const char *) {
            ++rejected;
        });
    });
    std::vector<std::unique_ptr<RawClient>> clients;
    clients.reserve(crowd);
    for (int i = 0; i < crowd; ++i) {
        clients.push_back(std::make_unique<RawClient>(22616));
    }
    CHECK(a.call("b", 1, longTimeout).answered);
    CHECK(rejected > 0);
}

// Guards against a handshake whose body is read into memory before the token is asked for.
TEST_CASE("a handshake with a body is refused before the body has come")
{
    const EchoNode node("a", 22617, "secret");
    RawClient client(22617);
    CHECK(client.send("GET /peer HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\nx"));
    CHECK(client.readUntil("\r\n").find(" 413 ") != std::string::npos);
}
