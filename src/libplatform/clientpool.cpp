#include "clientpool_pvt.h"

#include <utility>

namespace fescueledge {

namespace {

constexpr std::size_t maxIdlePerAddress = 64;

} // namespace

ClientPool::ClientPool(Milliseconds connectTimeout)
    : m_connectTimeout(connectTimeout)
{
}

std::unique_ptr<httplib::Client> ClientPool::take(const std::string &address, Milliseconds timeout)
{
    std::unique_ptr<httplib::Client> client;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::vector<std::unique_ptr<httplib::Client>> &idle = m_idle[address];
        if (!idle.empty()) {
            client = std::move(idle.back());
            idle.pop_back();
        }
    }
    if (!client) {
        client = std::make_unique<httplib::Client>("http://" + address);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_follow_location(false);
    }
    client->set_connection_timeout(std::min(m_connectTimeout, timeout));
    client->set_read_timeout(timeout);
    client->set_write_timeout(timeout);
    return client;
}

void ClientPool::giveBack(const std::string &address, std::unique_ptr<httplib::Client> client)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<std::unique_ptr<httplib::Client>> &idle = m_idle[address];
    if (idle.size() < maxIdlePerAddress) {
        idle.push_back(std::move(client));
    }
}

httplib::Result postJson(ClientPool *clients, const std::string &address, const std::string &path,
                         const std::string &body, Milliseconds timeout)
{
    std::unique_ptr<httplib::Client> client = clients->take(address, timeout);
    httplib::Result result = client->Post(path, body, "application/json");
    if (result && result->status == 200 && isWhole(*result)) {
        clients->giveBack(address, std::move(client));
    }
    return result;
}

bool isWhole(const httplib::Response &response)
{
    if (response.has_header("Content-Length")) {
        return response.get_header_value<std::uint64_t>("Content-Length") == response.body.size();
    }
    return response.get_header_value("Transfer-Encoding") == "chunked" || response.status == 204
        || response.status == 304;
}

} // namespace fescueledge
