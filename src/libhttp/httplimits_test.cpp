// Clients that keep to no limits, malformed requests, and what ordinary callers get meanwhile.
#include "fescueledge/asioloop.h"
#include "fescueledge/asynchttpclient.h"
#include "fescueledge/asynchttpserver.h"
#include "fescueledge/inputbudget.h"
#include "fescueledge/inputturns.h"
#include "fescueledge/testing/rawclient.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace fescueledge;

namespace {

constexpr int port = 19574;
constexpr std::size_t budgetBytes = 1'000'000;

std::string post(const std::string &target, const std::string &fields, const std::string &body = "")
{
    return "POST " + target + " HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n\r\n" + body;
}

std::string withLength(const std::string &target, std::size_t length, const std::string &body = "")
{
    return post(target, "Content-Length: " + std::to_string(length), body);
}

bool has(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

/// A server on a loop that runs on a thread of its own. It answers with the length of the body, or what is set.
class ServerThread
{
public:
    ServerThread()
        : budget(std::make_shared<InputBudget>(budgetBytes))
        , server(&loop, "127.0.0.1:" + std::to_string(port),
                 [this](const HttpRequest &request, const AsyncHttpServer::Responder &respond) {
                     ++handled;
                     if (holdsAnswers) {
                         m_held.emplace_back(respond, request.body);
                         return;
                     }
                     HttpReply reply;
                     reply.status = 200;
                     reply.body = answer.empty() ? "bytes:" + std::to_string(request.body.size()) : answer;
                     respond(reply);
                 })
    {
        server.setInputBudget(budget);
        server.setRejectionHandler([this](const char *reason) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_reasons.emplace_back(reason);
        });
    }

    ~ServerThread()
    {
        if (m_thread.joinable()) {
            loop.post([this] {
                loop.stop();
            });
            m_thread.join();
        }
    }
    ServerThread(const ServerThread &) = delete;
    ServerThread &operator=(const ServerThread &) = delete;

    void start()
    {
        m_thread = std::thread([this] {
            loop.run();
        });
    }

    /// Runs @p action on the loop and waits for it.
    void onLoop(const std::function<void()> &action)
    {
        std::promise<void> done;
        loop.post([&action, &done] {
            action();
            done.set_value();
        });
        done.get_future().wait();
    }

    std::size_t held()
    {
        std::size_t bytes = 0;
        onLoop([this, &bytes] {
            bytes = budget->held();
        });
        return bytes;
    }

    /// Waits until the budget holds at least @p bytes; false if it does not.
    bool holds(std::size_t bytes)
    {
        for (int i = 0; i < 1000; ++i) {
            if (held() >= bytes) {
                return true;
            }
            std::this_thread::sleep_for(Milliseconds(10));
        }
        return false;
    }

    /// Waits until @p count requests have been handed to the handler; false if that does not happen.
    bool handles(int count) const
    {
        for (int i = 0; i < 1000 && handled < count; ++i) {
            std::this_thread::sleep_for(Milliseconds(10));
        }
        return handled >= count;
    }

    /// Waits until the budget holds nothing; false if that does not happen.
    bool holdsNothing()
    {
        for (int i = 0; i < 1000; ++i) {
            if (held() == 0) {
                return true;
            }
            std::this_thread::sleep_for(Milliseconds(10));
        }
        return false;
    }

    /// Waits until @p reason has been reported; false if it is not.
    bool hasRejected(const std::string &reason)
    {
        for (int i = 0; i < 1000; ++i) {
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                if (std::find(m_reasons.begin(), m_reasons.end(), reason) != m_reasons.end()) {
                    return true;
                }
            }
            std::this_thread::sleep_for(Milliseconds(10));
        }
        return false;
    }

    AsioLoop loop;
    std::shared_ptr<InputBudget> budget;
    AsyncHttpServer server;
    /// Answers the requests that were held back. On the loop.
    void answerAll()
    {
        for (const auto &[respond, body] : m_held) {
            respond(HttpReply{});
        }
        m_held.clear();
    }

    std::string answer;
    std::atomic<int> handled{0};
    std::atomic<bool> holdsAnswers{false}; ///< Requests are answered by answerAll() only.

private:
    std::vector<std::pair<AsyncHttpServer::Responder, std::string>> m_held;
    std::mutex m_mutex;
    std::vector<std::string> m_reasons;
    std::thread m_thread;
};

/// A listener that reads a request, sends one response and closes the connection.
class OneAnswerListener
{
public:
    OneAnswerListener(int port, const std::string &response)
        : m_acceptor(m_io, {boost::asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)})
        , m_thread([this, response] {
            boost::asio::ip::tcp::socket socket = m_acceptor.accept();
            std::string request;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
            boost::asio::write(socket, boost::asio::buffer(response));
        })
    {
    }
    ~OneAnswerListener()
    {
        m_thread.join();
    }
    OneAnswerListener(const OneAnswerListener &) = delete;
    OneAnswerListener &operator=(const OneAnswerListener &) = delete;

private:
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

} // namespace

// Guards against a drain that takes a connection for idle while a body arrives on it: what has come is in the parser,
// and the buffer is empty.
TEST_CASE("a drain leaves a request that is being received")
{
    ServerThread node;
    node.start();
    RawClient client(port);
    RawClient idle(port);
    REQUIRE(client.send(withLength("/", 100'000, std::string(50'000, 'x'))));
    REQUIRE(node.holds(50'000));
    node.onLoop([&node] {
        node.server.drain();
    });
    CHECK(idle.readAll().empty());
    CHECK(client.send(std::string(50'000, 'x')));
    CHECK(has(client.readAll(), "bytes:100000"));
}

// Guards against a request that is carried out although its connection was closed to free its memory.
TEST_CASE("a request that is evicted while it is checked is not handled")
{
    ServerThread node;
    const InputBudget::MessageId other = node.budget->add(node.loop.now(), [] {});
    node.server.setHeaderCheck([&node, other](const HttpRequest &request) -> std::optional<HttpReply> {
        if (request.target == "/second") {
            node.budget->hold(other, budgetBytes, node.loop.now() + Milliseconds(1000));
        }
        return std::nullopt;
    });
    node.start();
    RawClient client(port);
    // A chunked request that is not complete has room for 16 KB, so the second one is read with its end, and is
    // complete when it is checked.
    REQUIRE(client.send(post("/first", "Transfer-Encoding: chunked", "1\r\n")));
    REQUIRE(node.holds(16'384));
    REQUIRE(client.send("x\r\n0\r\n\r\n" + withLength("/second", 10'000, std::string(10'000, 'x'))));
    CHECK_FALSE(has(client.readAll(), "bytes:10000"));
    CHECK(node.hasRejected("evicted"));
    CHECK(node.handled == 1);
}

// Guards against bytes that follow a body being taken for silence: the client was reset and may have lost its answer.
TEST_CASE("a body longer than declared gets an answer to the request and one to the rest")
{
    ServerThread node;
    node.start();
    RawClient client(port);
    REQUIRE(client.send(withLength("/", 3, "abc" + std::string(1000, '\x01'))));
    const std::string got = client.readAll();
    CHECK(has(got, "bytes:3"));
    CHECK(has(got, "HTTP/1.1 400 "));
    CHECK(node.handled == 1);
    CHECK(node.hasRejected("malformed"));
}

TEST_CASE("a body shorter than declared is not handled")
{
    ServerThread node;
    node.start();
    const std::string request =
        GENERATE(withLength("/", 10, "abc"), post("/", "Transfer-Encoding: chunked", "5\r\nabcde\r\n"));
    RawClient client(port);
    REQUIRE(client.send(request));
    client.finishSending();
    CHECK(client.readAll().empty());
    CHECK(node.handled == 0);
    CHECK(node.held() == 0);
}

// Guards against clients that wait for an answer to their headers before they send the body, and get none.
TEST_CASE("a client that expects 100 is told to go on, or gets its refusal at once")
{
    ServerThread node;
    AsyncHttpServer::Limits limits;
    limits.bodyBytes = 1000;
    node.server.setLimits(limits);
    node.start();
    RawClient client(port);
    REQUIRE(client.send(post("/", "Content-Length: 5\r\nExpect: 100-continue")));
    CHECK(has(client.readUntil("\r\n\r\n"), "HTTP/1.1 100 Continue"));
    REQUIRE(client.send("abcde"));
    CHECK(has(client.readUntil("bytes:5"), "HTTP/1.1 200 "));
    REQUIRE(client.send(post("/", "Content-Length: 5000\r\nExpect: 100-continue")));
    const std::string refusal = client.readAll();
    CHECK(has(refusal, "HTTP/1.1 413 "));
    CHECK_FALSE(has(refusal, "100 Continue"));
}

// Guards against megabytes in the kernel for each client that sends requests and reads no answers.
TEST_CASE("answers that a client does not read are bounded, and the client is disconnected")
{
    constexpr int receiveBuffer = 4096;
    constexpr std::size_t answerBytes = 10'000;
    constexpr std::size_t unreadBound = 200'000;
    ServerThread node;
    node.answer = std::string(answerBytes, 'a');
    node.start();
    RawClient client(port, receiveBuffer);
    std::string requests;
    for (int i = 0; i < 300; ++i) {
        requests += "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    }
    client.send(requests);
    CHECK(client.waitForClose());
    CHECK(node.handled * answerBytes <= unreadBound);
    CHECK(node.hasRejected("unread"));
}

// Guards against limits of the operators that are in force on new connections only, and against a lower limit that
// meets more buffered bytes than it allows.
TEST_CASE("changed limits are in force on connections that are open")
{
    ServerThread node;
    node.start();
    RawClient bodies(port);
    RawClient headers(port);
    for (RawClient *client : {&bodies, &headers}) {
        REQUIRE(client->send(withLength("/", 5000, std::string(5000, 'x'))));
        REQUIRE(has(client->readUntil("bytes:5000"), "200"));
    }
    // The answers may have come before the server waits for the next requests, with the limits of then.
    node.onLoop([] {});
    node.onLoop([] {});
    node.onLoop([&node] {
        AsyncHttpServer::Limits limits = node.server.limits();
        limits.bodyBytes = 4000;
        limits.headerBytes = 2000;
        node.server.setLimits(limits);
    });
    REQUIRE(bodies.send(withLength("/", 4000, std::string(4000, 'x'))));
    CHECK(has(bodies.readUntil("bytes:4000"), "HTTP/1.1 200 "));
    REQUIRE(bodies.send(withLength("/", 4001)));
    CHECK(has(bodies.readAll(), "HTTP/1.1 413 "));
    REQUIRE(headers.send(post("/", "X-Long: " + std::string(3000, 'h') + "\r\nContent-Length: 0")));
    CHECK(has(headers.readAll(), "HTTP/1.1 431 "));
    RawClient chunks(port);
    REQUIRE(
        chunks.send(post("/", "Transfer-Encoding: chunked", "1388\r\n" + std::string(5000, 'x') + "\r\n0\r\n\r\n")));
    CHECK(has(chunks.readAll(), "HTTP/1.1 413 "));
    CHECK(node.hasRejected("body"));
    CHECK(node.hasRejected("header"));
}

// Guards against a listener that goes out of service when limits are lowered while bytes of the next request are
// buffered.
TEST_CASE("limits that are lowered while pipelined requests are buffered leave the server in service")
{
    ServerThread node;
    node.answer = "ok";
    AsyncHttpServer::Limits limits;
    limits.headerBytes = 100'000;
    node.server.setLimits(limits);
    node.server.setHeaderCheck([&node](const HttpRequest &) -> std::optional<HttpReply> {
        AsyncHttpServer::Limits lower;
        lower.headerBytes = 1000;
        node.server.setLimits(lower);
        return std::nullopt;
    });
    node.start();
    RawClient client(port);
    client.send(withLength("/", 1, "x") + post("/", "X-Long: " + std::string(90'000, 'h')));
    client.readAll();
    RawClient next(port);
    REQUIRE(next.send(withLength("/", 1, "x")));
    CHECK(has(next.readUntil("ok"), "HTTP/1.1 200 "));
}

// Guards against a limit on the overhead of chunks that callers inside the limits meet.
TEST_CASE("a body of the largest legal size in chunks of one byte is served")
{
    ServerThread node;
    node.start();
    const std::size_t largest = AsyncHttpServer::Limits().bodyBytes;
    std::string body;
    for (std::size_t i = 0; i < largest; ++i) {
        body += "1\r\nx\r\n";
    }
    RawClient client(port);
    REQUIRE(client.send(post("/", "Transfer-Encoding: chunked", body + "0\r\n\r\n")));
    CHECK(has(client.readUntil("bytes:"), "HTTP/1.1 200 "));
}

// Guards against a request that occupies a connection and the processor with extensions of chunks: no limit on the body
// counts them.
TEST_CASE("a request that is mostly overhead of chunks is refused")
{
    ServerThread node;
    AsyncHttpServer::Limits limits;
    limits.bodyBytes = 1000;
    limits.headerBytes = 2000;
    node.server.setLimits(limits);
    node.start();
    RawClient client(port);
    REQUIRE(client.send(post("/", "Transfer-Encoding: chunked")));
    for (int i = 0; i < 100; ++i) {
        client.send("1;" + std::string(1000, 'e') + "\r\nx\r\n");
    }
    client.send("0\r\n\r\n");
    CHECK(has(client.readUntil("\r\n\r\n"), "HTTP/1.1 413 "));
    CHECK(node.hasRejected("overhead"));
    CHECK(node.handled == 0);
}

// Guards against the connection of an ordinary caller being closed in favour of connections whose requests
// were refused, because a refusal counted as a served request.
TEST_CASE("at the bound on connections refused ones are closed before one that has been served")
{
    ServerThread node;
    AsyncHttpServer::Limits limits;
    limits.connections = 4;
    node.server.setLimits(limits);
    node.start();
    RawClient caller(port);
    REQUIRE(caller.send(withLength("/", 1, "x")));
    REQUIRE(has(caller.readUntil("bytes:1"), "200"));
    std::vector<std::unique_ptr<RawClient>> crowd;
    for (int i = 0; i < 12; ++i) {
        crowd.push_back(std::make_unique<RawClient>(port));
        REQUIRE(crowd.back()->send(withLength("/", limits.bodyBytes + 1)));
        CHECK(has(crowd.back()->readUntil("\r\n\r\n"), " 413 "));
    }
    REQUIRE(caller.send(withLength("/", 2, "xy")));
    CHECK(has(caller.readUntil("bytes:2"), "HTTP/1.1 200 "));
}

// Guards against memory that is reserved for the rest of a message and not counted.
TEST_CASE("memory reserved for a chunked body counts before the body has come")
{
    ServerThread node;
    node.start();
    RawClient client(port);
    REQUIRE(client.send(post("/", "Transfer-Encoding: chunked")));
    CHECK(node.holds(16'384));
}

// Guards against messages that stay in the budget after their connection has been served or closed.
TEST_CASE("nothing is held after requests have been answered, refused, timed out or cut short")
{
    ServerThread node;
    AsyncHttpServer::Limits limits;
    limits.messageTimeout = Milliseconds(500);
    node.server.setLimits(limits);
    node.start();
    {
        RawClient served(port);
        REQUIRE(served.send(withLength("/", 100'000, std::string(100'000, 'x'))));
        CHECK(has(served.readUntil("bytes:"), "200"));
        RawClient refused(port);
        REQUIRE(refused.send(post("/", "Transfer-Encoding: chunked", "fffff\r\n")));
        refused.send(std::string(limits.bodyBytes + 1, 'x'));
        CHECK(has(refused.readAll(), " 413 "));
        RawClient stuck(port);
        REQUIRE(stuck.send(withLength("/", 100'000, std::string(99'999, 'x'))));
        CHECK(stuck.readAll().empty());
        CHECK(node.hasRejected("timeout"));
        CHECK(node.held() == 0);
        const RawClient leaving(port);
    }
    CHECK(node.held() == 0);
}

// Guards against connections that stay open although nothing comes, and headers that never end.
TEST_CASE("idle connections and headers that trickle are closed")
{
    ServerThread node;
    AsyncHttpServer::Limits limits;
    limits.idleTimeout = Milliseconds(200);
    limits.headerTimeout = Milliseconds(200);
    limits.messageTimeout = std::chrono::hours(1);
    node.server.setLimits(limits);
    node.start();
    RawClient idle(port);
    CHECK(idle.readAll().empty());
    CHECK(idle.waitForClose());
    RawClient slow(port);
    bool isOpen = true;
    for (int i = 0; i < 500 && isOpen; ++i) {
        isOpen = slow.send("P");
        std::this_thread::sleep_for(Milliseconds(20));
    }
    CHECK_FALSE(isOpen);
    CHECK(node.hasRejected("timeout"));
}

// Guards against a refusal for lack of memory that does not tell the caller when to come back.
TEST_CASE("an answer for which there is no memory becomes 503 with a time to retry")
{
    ServerThread node;
    node.answer = std::string(100'000, 'a');
    const InputBudget::MessageId other = node.budget->add(node.loop.now(), [] {});
    node.budget->hold(other, budgetBytes, node.loop.now());
    node.budget->pin(other);
    node.start();
    RawClient client(port);
    REQUIRE(client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
    const std::string got = client.readUntil("\r\n\r\n");
    CHECK(has(got, "HTTP/1.1 503 "));
    CHECK(has(got, "Retry-After: 1"));
}

// Guards against a server and its budget that keep each other, with the sockets, after the loop has gone.
TEST_CASE("a server that is destroyed gives back what its unfinished requests hold")
{
    const std::shared_ptr<InputBudget> budget = std::make_shared<InputBudget>(budgetBytes);
    std::unique_ptr<ServerThread> node = std::make_unique<ServerThread>();
    node->server.setInputBudget(budget);
    node->budget = budget;
    node->start();
    RawClient client(port);
    REQUIRE(client.send(withLength("/", 100'000, "x")));
    REQUIRE(node->holds(100'000));
    node.reset(); // While the client stays.
    CHECK(budget.use_count() == 1);
    CHECK(budget->held() == 0);
}

// Load: complete bodies of legal size whose clients close, or are closed at the bound on connections, before they are
// answered. Guards against requests that still occupy memory, and are no longer counted.
TEST_CASE("a request that is being handled counts until it is answered, also if its client has gone")
{
    constexpr std::size_t bodyBytes = 100'000;
    ServerThread node;
    node.holdsAnswers = true;
    AsyncHttpServer::Limits limits;
    limits.connections = 4;
    node.server.setLimits(limits);
    node.start();
    std::vector<std::unique_ptr<RawClient>> crowd;
    for (int i = 0; i < 40; ++i) {
        crowd.push_back(std::make_unique<RawClient>(port));
        REQUIRE(crowd.back()->send(withLength("/", bodyBytes, std::string(bodyBytes, 'x'))));
        // The next client comes when this one's request has arrived.
        if (i < static_cast<int>(limits.connections)) {
            REQUIRE(node.handles(i + 1));
        } else {
            CHECK(has(crowd.back()->readUntil("\r\n\r\n"), "HTTP/1.1 503 "));
        }
    }
    CHECK(node.hasRejected("requests"));
    CHECK(node.handled == 4);
    CHECK(node.held() >= static_cast<std::size_t>(node.handled) * bodyBytes);
    crowd.clear();
    node.holdsAnswers = false; // What the kernel still holds may be handled now.
    node.onLoop([&node] {
        node.answerAll();
    });
    CHECK(node.holdsNothing());
    RawClient next(port);
    REQUIRE(next.send(withLength("/", 1, "x")));
    CHECK(has(next.readUntil("bytes:1"), "HTTP/1.1 200 "));
}

// Load: bodies in chunks of one byte from many clients, all of them ready at once. Guards against other work of the
// loop that waits for all of them.
TEST_CASE("between two turns of other work a crowd's input costs a bounded amount of work")
{
    ServerThread node;
    std::vector<std::unique_ptr<RawClient>> crowd;
    std::string chunks;
    for (int i = 0; i < 2500; ++i) {
        chunks += "1\r\nx\r\n";
    }
    chunks.resize(chunks.size() - 2); // The line's end is parsed with the next chunk.
    node.server.setInputBudget(std::make_shared<InputBudget>(10 * budgetBytes)); // None is evicted.
    node.start();
    const std::string head = post("/", "Transfer-Encoding: chunked");
    for (int i = 0; i < 100; ++i) {
        crowd.push_back(std::make_unique<RawClient>(port));
        REQUIRE(crowd.back()->send(head));
    }
    const std::uint64_t headBytes = crowd.size() * head.size();
    const auto hasParsed = [&node](std::uint64_t bytes) {
        std::uint64_t parsed = 0;
        for (int i = 0; i < 1000 && parsed < bytes; ++i) {
            std::this_thread::sleep_for(Milliseconds(10));
            node.onLoop([&node, &parsed] {
                parsed = node.server.parsedBytes();
            });
        }
        return parsed >= bytes;
    };
    REQUIRE(hasParsed(headBytes));
    std::uint64_t most = 0;
    std::uint64_t before = headBytes;
    std::function<void()> heartbeat = [&] {
        const std::uint64_t parsed = node.server.parsedBytes();
        most = std::max(most, parsed - before);
        before = parsed;
        if (parsed < headBytes + crowd.size() * chunks.size()) {
            node.loop.post(heartbeat);
        }
    };
    // The loop is held up until all of them are ready.
    node.onLoop([&] {
        for (const std::unique_ptr<RawClient> &client : crowd) {
            CHECK(client->send(chunks));
        }
        node.loop.post(heartbeat);
    });
    CHECK(hasParsed(headBytes + crowd.size() * chunks.size()));
    node.onLoop([&] {
        CHECK(most <= 2 * InputTurns::unitsPerPass);
    });
}

// Guards against responses that end with the connection being taken for cut short, and the reverse.
TEST_CASE("a response without a length ends with the connection, others are cut short by that")
{
    const auto [response, isComplete] = GENERATE(
        table<std::string, bool>({{"HTTP/1.1 200 OK\r\n\r\nwhole", true},
                                  {"HTTP/1.0 200 OK\r\n\r\n", true},
                                  {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", false},
                                  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", false},
                                  {"HTTP/1.1 200 OK\r\nContent-Le", false},
                                  {"", false}}));
    CAPTURE(response);
    AsioLoop loop;
    OneAnswerListener listener(port, response);
    AsyncHttpClient client(&loop, Milliseconds(300));
    HttpCall call;
    call.method = "GET";
    call.target = "/";
    call.timeout = Milliseconds(5000);
    HttpAnswer got;
    client.call("127.0.0.1:" + std::to_string(port), std::move(call), [&loop, &got](const HttpAnswer &answer) {
        got = answer;
        loop.stop();
    });
    loop.run();
    CHECK(got.callOutcome == (isComplete ? HttpCallOutcome::Answered : HttpCallOutcome::NoAnswer));
    CHECK(got.body == (isComplete && has(response, "whole") ? "whole" : ""));
    CHECK_FALSE(got.isKept);
}
