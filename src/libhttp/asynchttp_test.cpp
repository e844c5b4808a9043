// Large messages on a node without processor time to spare, where each pass of the loop takes long.
#include "fescueledge/asioloop.h"
#include "fescueledge/asynchttpclient.h"
#include "fescueledge/asynchttpserver.h"
#include "fescueledge/testing/silencingproxy.h"

#include <catch2/catch.hpp>
#include <future>
#include <string>
#include <thread>

using namespace fescueledge;

namespace {

constexpr std::size_t largeBodyBytes = 100'000; ///< A list of two hundred workers.
constexpr Milliseconds passDuration{1};
constexpr int fewPasses = 40; ///< A call with a small body takes about ten.

/// A client and a server on one loop that always has something else to do.
class BusyLoop
{
public:
    explicit BusyLoop(const AsyncHttpServer::Handler &handler)
        : m_server(&m_loop, address, handler)
        , m_client(&m_loop, Milliseconds(300))
    {
        pass();
    }

    /// Makes a call and returns its answer.
    HttpAnswer call(const std::string &body)
    {
        HttpCall call;
        call.method = "POST";
        call.target = "/";
        call.contentType = "text/plain";
        call.body = body;
        call.timeout = Milliseconds(5000);
        HttpAnswer got;
        m_client.call(address, std::move(call), [this, &got](const HttpAnswer &answer) {
            got = answer;
            m_loop.stop();
        });
        m_loop.run();
        return got;
    }

    int passes() const
    {
        return m_passes;
    }

private:
    static constexpr const char *address = "127.0.0.1:19571";

    void pass()
    {
        m_loop.post([this] {
            std::this_thread::sleep_for(passDuration);
            ++m_passes;
            pass();
        });
    }

    AsioLoop m_loop;
    AsyncHttpServer m_server;
    AsyncHttpClient m_client;
    int m_passes = 0;
};

HttpReply replyOf(const std::string &body)
{
    HttpReply reply;
    reply.status = 200;
    reply.contentType = "text/plain";
    reply.body = body;
    return reply;
}

} // namespace

// Guards against a list of workers that arrives seconds late, because each pass of a busy loop reads 512 bytes of it.
TEST_CASE("a large response is read in a few passes of a busy loop")
{
    const std::string body(largeBodyBytes, 'w');
    BusyLoop busy([body](const HttpRequest &, const AsyncHttpServer::Responder &respond) {
        respond(replyOf(body));
    });
    const HttpAnswer got = busy.call("");
    CHECK(got.status == 200);
    CHECK(got.body == body);
    CHECK(busy.passes() < fewPasses);
}

// Guards against the same delay of a caller's large request.
TEST_CASE("a large request is read in a few passes of a busy loop")
{
    const std::string body(largeBodyBytes, 'j');
    BusyLoop busy([](const HttpRequest &request, const AsyncHttpServer::Responder &respond) {
        respond(replyOf(std::to_string(request.body.size())));
    });
    const HttpAnswer got = busy.call(body);
    CHECK(got.status == 200);
    CHECK(got.body == std::to_string(body.size()));
    CHECK(busy.passes() < fewPasses);
}

// Guards against a call to somebody else: a port of 85108 was narrowed to 19572, and text after a port was ignored.
TEST_CASE("a call to a port out of range is not sent")
{
    int received = 0;
    for (const char *address : {"127.0.0.1:85108", "127.0.0.1:19572x", "127.0.0.1: 19572", "127.0.0.1:4294986868",
                                "127.0.0.1:0", "127.0.0.1:", "127.0.0.1"}) {
        AsioLoop loop;
        const AsyncHttpServer server(&loop, "127.0.0.1:19572",
                                     [&received](const HttpRequest &, const AsyncHttpServer::Responder &respond) {
                                         ++received;
                                         respond(replyOf(""));
                                     });
        AsyncHttpClient client(&loop, Milliseconds(300));
        HttpCall call;
        call.method = "GET";
        call.target = "/";
        call.timeout = Milliseconds(1000);
        HttpAnswer got;
        client.call(address, std::move(call), [&loop, &got](const HttpAnswer &answer) {
            got = answer;
            loop.stop();
        });
        loop.run();
        CAPTURE(address);
        CHECK(got.callOutcome == HttpCallOutcome::NotSent);
    }
    CHECK(received == 0);
}

// Guards against a call that carries another: a header value with line breaks, such as the id of a worker from another
// writer, was sent as it stands.
TEST_CASE("a call with control characters in its head is not sent")
{
    const std::string injection = "w\r\nContent-Length: 0\r\n\r\nGET /injected HTTP/1.1\r\nHost: x";
    std::vector<std::string> received;
    for (const bool inTarget : {false, true}) {
        AsioLoop loop;
        const AsyncHttpServer server(
            &loop, "127.0.0.1:19572",
            [&received](const HttpRequest &request, const AsyncHttpServer::Responder &respond) {
                received.push_back(request.target);
                respond(replyOf(""));
            });
        AsyncHttpClient client(&loop, Milliseconds(300));
        HttpCall call;
        call.method = "POST";
        call.target = inTarget ? "/ HTTP/1.1\r\nX: " + injection : "/";
        call.headers.emplace_back("X-Expect-Instance", inTarget ? "w" : injection);
        call.timeout = Milliseconds(1000);
        HttpAnswer got;
        client.call("127.0.0.1:19572", std::move(call), [&loop, &got](const HttpAnswer &answer) {
            got = answer;
            loop.postAfter(Milliseconds(50), [&loop] {
                loop.stop();
            });
        });
        loop.run();
        CHECK(got.callOutcome == HttpCallOutcome::NotSent);
    }
    CHECK(received.empty());
}

// Guards against a caller's wait of 2^32 + 1 ms that was narrowed to 1 ms, and a negative one that has always passed.
TEST_CASE("a caller's wait out of range is bounded, and a malformed one is unknown")
{
    const std::vector<std::pair<const char *, Milliseconds>> waits{{"1500", Milliseconds(1500)},
                                                                   {"4294967297", std::chrono::hours(24)},
                                                                   {"99999999999999999999", std::chrono::hours(24)},
                                                                   {"-5", Milliseconds(0)},
                                                                   {"-99999999999999999999", Milliseconds(0)},
                                                                   {"x", Milliseconds(0)}};
    for (const auto &[text, expected] : waits) {
        AsioLoop loop;
        Milliseconds got{-1};
        const AsyncHttpServer server(&loop, "127.0.0.1:19572",
                                     [&got](const HttpRequest &request, const AsyncHttpServer::Responder &respond) {
                                         got = request.callerTimeout;
                                         respond(replyOf(""));
                                     });
        AsyncHttpClient client(&loop, Milliseconds(300));
        HttpCall call;
        call.method = "GET";
        call.target = "/";
        call.headers.emplace_back("X-Deadline-Ms", text);
        call.timeout = Milliseconds(1000);
        client.call("127.0.0.1:19572", std::move(call), [&loop](const HttpAnswer &) {
            loop.stop();
        });
        loop.run();
        CAPTURE(text);
        CHECK(got.count() == expected.count());
    }
}

// Guards against calls that each wait for a timeout, one after the other, because all idle connections to a server went
// silent together.
TEST_CASE("after a call on a silent connection the next one uses none of the connections that were idle with it")
{
    constexpr int connections = 5;
    constexpr Milliseconds timeout{500};
    AsioLoop loop;
    AsyncHttpServer server(&loop, "127.0.0.1:19572",
                           [](const HttpRequest &, const AsyncHttpServer::Responder &respond) {
                               respond(replyOf("ok"));
                           });
    SilencingProxy proxy(19573, 19572);
    AsyncHttpClient client(&loop, timeout);
    std::thread thread([&loop] {
        loop.run();
    });
    /// The number of answered calls of @p calls that are made at the same time.
    const auto callTogether = [&](int calls) {
        std::promise<int> done;
        int answered = 0;
        int left = calls;
        loop.post([&] {
            for (int i = 0; i < calls; ++i) {
                HttpCall call;
                call.method = "GET";
                call.target = "/";
                call.timeout = timeout;
                client.call(proxy.address(), std::move(call), [&](const HttpAnswer &answer) {
                    answered += answer.callOutcome == HttpCallOutcome::Answered ? 1 : 0;
                    if (--left == 0) {
                        done.set_value(answered);
                    }
                });
            }
        });
        return done.get_future().get();
    };
    CHECK(callTogether(connections) == connections);
    CHECK(proxy.silence() == connections);
    CHECK(callTogether(1) == 0);
    CHECK(callTogether(1) == 1);
    loop.post([&loop] {
        loop.stop();
    });
    thread.join();
}

// Guards against a request without a valid key whose body is read, and against its answer being lost in a reset,
// because the connection was closed while the body was still arriving.
TEST_CASE("a request that the header check rejects is answered without its body")
{
    const std::string authorization = GENERATE("Token bad", "Token good", "");
    const std::size_t bytes = GENERATE(std::size_t{0}, std::size_t{10}, largeBodyBytes);
    CAPTURE(authorization, bytes);
    int handled = 0;
    AsioLoop loop;
    AsyncHttpServer server(&loop, "127.0.0.1:19572",
                           [&handled](const HttpRequest &, const AsyncHttpServer::Responder &respond) {
                               ++handled;
                               respond(replyOf("handled"));
                           });
    server.setHeaderCheck([](const HttpRequest &request) {
        HttpReply reply;
        reply.status = 401;
        return request.authorization == "Token good" ? std::nullopt : std::optional<HttpReply>(reply);
    });
    AsyncHttpClient client(&loop, Milliseconds(300));
    HttpCall call;
    call.method = "POST";
    call.target = "/";
    call.body = std::string(bytes, 'j');
    call.timeout = Milliseconds(3000);
    call.headers = {{"Authorization", authorization}};
    HttpAnswer got;
    client.call("127.0.0.1:19572", std::move(call), [&loop, &got](const HttpAnswer &answer) {
        got = answer;
        loop.stop();
    });
    loop.run();
    const bool good = authorization == "Token good";
    CHECK(got.status == (good ? 200 : 401));
    CHECK(handled == (good ? 1 : 0));
}
