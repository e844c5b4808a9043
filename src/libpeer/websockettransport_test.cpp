#include "fescueledge/websockettransport.h"

#include "fescueledge/error.h"
#include "fescueledge/eventloop.h"

#include <catch2/catch.hpp>
#include <future>

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
