#include "fescueledge/httpendpointclient.h"

#include "fescueledge/eventloop.h"
#include "fescueledge/iopool.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <future>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace fescueledge;

namespace {

/// An endpoint that reads one request from each connection, sends fixed bytes and closes the connection.
class CannedEndpoint
{
public:
    explicit CannedEndpoint(std::string answer)
        : m_answer(std::move(answer))
        , m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        REQUIRE(bind(m_socket, reinterpret_cast<sockaddr *>(&address), size) == 0);
        REQUIRE(listen(m_socket, 8) == 0);
        getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] {
            serve();
        });
    }

    ~CannedEndpoint()
    {
        shutdown(m_socket, SHUT_RDWR);
        m_thread.join();
        close(m_socket);
    }

    CannedEndpoint(const CannedEndpoint &) = delete;
    CannedEndpoint &operator=(const CannedEndpoint &) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }

private:
    void serve() const
    {
        while (true) {
            const int connection = accept(m_socket, nullptr, nullptr);
            if (connection < 0) {
                return;
            }
            char buf[4096];
            if (recv(connection, buf, sizeof(buf), 0) > 0) {
                send(connection, m_answer.data(), m_answer.size(), MSG_NOSIGNAL);
            }
            close(connection);
        }
    }

    std::string m_answer;
    int m_socket;
    int m_port = 0;
    std::thread m_thread;
};

SendResult sendTo(const std::string &address, Duration sendWindow)
{
    EventLoop loop;
    IoPool pool(1);
    HttpEndpointClient client(&loop, &pool, Milliseconds(500));
    ServiceRequest request;
    request.id = "r1";
    request.method = "GET";
    request.path = "/preview";
    std::promise<SendResult> promise;
    client.send(address, 1, request, Clock::now() + sendWindow, Milliseconds(2000),
                [&promise](const SendResult &result) {
                    promise.set_value(result);
                });
    return promise.get_future().get();
}

constexpr std::chrono::seconds longSendWindow{5};

} // namespace

TEST_CASE("a complete response is returned")
{
    const CannedEndpoint endpoint("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Request-Id: r1\r\n\r\nhello");
    const SendResult result = sendTo(endpoint.address(), longSendWindow);
    REQUIRE(result.ok);
    CHECK(result.response.body == "hello");
}

TEST_CASE("a truncated response fails with an unknown run outcome")
{
    const CannedEndpoint endpoint("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello");
    const SendResult result = sendTo(endpoint.address(), longSendWindow);
    CHECK_FALSE(result.ok);
    CHECK(result.outcome == RunOutcome::Unknown);
}

TEST_CASE("a response to another request fails with an unknown run outcome")
{
    const CannedEndpoint endpoint("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Request-Id: r2\r\n\r\nhello");
    const SendResult result = sendTo(endpoint.address(), longSendWindow);
    CHECK_FALSE(result.ok);
    CHECK(result.outcome == RunOutcome::Unknown);
}

TEST_CASE("a connection closed without a response fails with an unknown run outcome")
{
    const CannedEndpoint endpoint("");
    const SendResult result = sendTo(endpoint.address(), longSendWindow);
    CHECK_FALSE(result.ok);
    CHECK(result.outcome == RunOutcome::Unknown);
}

TEST_CASE("a refused connection fails as not run")
{
    const SendResult result = sendTo("127.0.0.1:9", longSendWindow);
    CHECK_FALSE(result.ok);
    CHECK(result.outcome == RunOutcome::NotRun);
}

TEST_CASE("no request is sent after its send deadline")
{
    const CannedEndpoint endpoint("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
    const SendResult result = sendTo(endpoint.address(), -longSendWindow);
    CHECK_FALSE(result.ok);
    CHECK(result.outcome == RunOutcome::NotRun);
}
