#include "fescueledge/httpworkeragent.h"

#include "clientpool_pvt.h"
#include "fescueledge/iopool.h"
#include "fescueledge/loop.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace fescueledge {

namespace {

WorkerExchangeResult exchangeResultOf(const httplib::Result &result)
{
    WorkerExchangeResult exchange;
    if (!result || result->status != 200 || !isWhole(*result)) {
        return exchange;
    }
    const nlohmann::json json = nlohmann::json::parse(result->body, nullptr, false);
    if (json.is_discarded()) {
        return exchange;
    }
    json.get_to(exchange.reply);
    exchange.answered = true;
    return exchange;
}

} // namespace

HttpWorkerAgent::HttpWorkerAgent(Loop *loop, IoPool *pool, Milliseconds connectTimeout)
    : m_loop(loop)
    , m_pool(pool)
    , m_clients(std::make_shared<ClientPool>(connectTimeout))
{
}

HttpWorkerAgent::~HttpWorkerAgent() = default;

void HttpWorkerAgent::exchange(const VmEntry &worker, const WorkerRequest &request, Milliseconds timeout,
                               Handler handler)
{
    const std::string path = "/workers/" + worker.name + "/exchange";
    const std::string body = nlohmann::json(request).dump();
    m_pool->run([loop = m_loop, clients = m_clients, address = worker.address, path, body, timeout, handler] {
        const WorkerExchangeResult result = exchangeResultOf(postJson(clients.get(), address, path, body, timeout));
        loop->post([handler, result] {
            handler(result);
        });
    });
}

} // namespace fescueledge
