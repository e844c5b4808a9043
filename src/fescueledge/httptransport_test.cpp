#include "httptransport_pvt.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <httplib.h>
#include <thread>
#include <unistd.h>

using namespace fescueledge;

namespace {

constexpr Milliseconds timeout{5000};

/// A loopback socket that listens on a free port.
class Listener
{
public:
    Listener()
        : m_fd(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        REQUIRE(bind(m_fd, reinterpret_cast<sockaddr *>(&address), length) == 0);
        REQUIRE(listen(m_fd, 1) == 0);
        getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &length);
        m_port = ntohs(address.sin_port);
    }

    ~Listener()
    {
        close(m_fd);
    }

    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    std::string node() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }

    /// Accepts one connection, reads some of the request, writes @p answer and closes.
    void answerOnce(const std::string &answer) const
    {
        int fd = accept(m_fd, nullptr, nullptr);
        char buf[4096];
        ssize_t n = read(fd, buf, sizeof(buf));
        CHECK(n > 0);
        CHECK(write(fd, answer.data(), answer.size()) == static_cast<ssize_t>(answer.size()));
        close(fd);
    }

private:
    int m_fd;
    int m_port = 0;
};

ApiResponse sendTo(const Listener &listener, const std::string &answer)
{
    std::thread server([&] {
        listener.answerOnce(answer);
    });
    ApiResponse response = HttpTransport("secret").send(listener.node(), {"POST", "/v1/config", "{}"}, timeout);
    server.join();
    return response;
}

} // namespace

TEST_CASE("a refused connection means that nothing was sent")
{
    std::string node;
    {
        Listener closed;
        node = closed.node();
    }
    ApiResponse response = HttpTransport("secret").send(node, {"POST", "/", "{}"}, timeout);
    CHECK(response.delivery == ApiResponse::Delivery::NotSent);
}

TEST_CASE("a connection that closes before a complete answer means that the answer was lost")
{
    Listener listener;
    CHECK(sendTo(listener, "").delivery == ApiResponse::Delivery::Lost);
    CHECK(sendTo(listener, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"ver").delivery
          == ApiResponse::Delivery::Lost);
}

TEST_CASE("a response has its status and body, and the request carries the token")
{
    httplib::Server server;
    std::string token;
    server.Delete("/v1/jobs/1", [&](const httplib::Request &request, httplib::Response &response) {
        token = request.get_header_value("Authorization");
        response.status = 404;
        response.set_content(request.body, "application/json");
    });
    int port = server.bind_to_any_port("127.0.0.1");
    std::thread thread([&] {
        server.listen_after_bind();
    });
    ApiResponse response =
        HttpTransport("secret").send("127.0.0.1:" + std::to_string(port), {"DELETE", "/v1/jobs/1", "{}"}, timeout);
    server.stop();
    thread.join();
    CHECK(response.delivery == ApiResponse::Delivery::Answered);
    CHECK(response.status == 404);
    CHECK(response.body == "{}");
    CHECK(token == "Bearer secret");
}
