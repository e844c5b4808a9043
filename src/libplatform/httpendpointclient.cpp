#include "fescueledge/httpendpointclient.h"

#include "clientpool_pvt.h"
#include "fescueledge/iopool.h"
#include "fescueledge/loop.h"

#include <utility>

namespace fescueledge {

namespace {

httplib::Request toHttp(const ServiceRequest &request, Epoch epoch)
{
    httplib::Request http;
    http.method = request.method;
    http.path = request.path;
    http.body = request.body;
    for (const auto &[name, value] : request.headers) {
        http.headers.emplace(name, value);
    }
    http.headers.emplace("X-Request-Id", request.id);
    http.headers.emplace("X-Fescueledge-Epoch", std::to_string(epoch));
    if (!request.key.empty()) {
        http.headers.emplace("Idempotency-Key", request.key);
    }
    return http;
}

ServiceResponse fromHttp(const httplib::Response &http)
{
    ServiceResponse response;
    response.status = http.status;
    response.body = http.body;
    for (const auto &[name, value] : http.headers) {
        response.headers[name] = value;
    }
    return response;
}

SendResult failure(RunOutcome outcome, const std::string &detail)
{
    SendResult result;
    result.outcome = outcome;
    result.detail = detail;
    return result;
}

bool connectFailed(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
}

/// Checks that @p http is a complete response to the request @p id.
SendResult checkAnswer(const httplib::Response &http, const std::string &id)
{
    if (!isWhole(http)) {
        return failure(RunOutcome::Unknown, "truncated answer");
    }
    if (http.has_header("X-Request-Id") && http.get_header_value("X-Request-Id") != id) {
        return failure(RunOutcome::Unknown, "answer to another request");
    }
    SendResult result;
    result.ok = true;
    result.response = fromHttp(http);
    result.outcome = RunOutcome::Ran;
    return result;
}

SendResult sendNow(ClientPool *clients, const std::string &address, Epoch epoch, const ServiceRequest &request,
                   TimePoint sendBefore, TimePoint deadline)
{
    httplib::Request http = toHttp(request, epoch);
    const TimePoint now = Clock::now();
    if (now >= sendBefore) {
        return failure(RunOutcome::NotRun, "the right to send lapsed while the request waited");
    }
    if (now >= deadline) {
        return failure(RunOutcome::NotRun, "the deadline passed while the request waited");
    }
    const Milliseconds left = std::chrono::ceil<Milliseconds>(deadline - now);
    std::unique_ptr<httplib::Client> client = clients->take(address, left);
    const httplib::Result answer = client->send(http);
    if (!answer) {
        const RunOutcome outcome = connectFailed(answer.error()) ? RunOutcome::NotRun : RunOutcome::Unknown;
        return failure(outcome, httplib::to_string(answer.error()));
    }
    SendResult result = checkAnswer(*answer, request.id);
    if (result.ok) {
        clients->giveBack(address, std::move(client));
    }
    return result;
}

} // namespace

HttpEndpointClient::HttpEndpointClient(Loop *loop, IoPool *pool, Milliseconds connectTimeout)
    : m_loop(loop)
    , m_pool(pool)
    , m_clients(std::make_shared<ClientPool>(connectTimeout))
{
}

HttpEndpointClient::~HttpEndpointClient() = default;

void HttpEndpointClient::send(const std::string &address, Epoch epoch, const ServiceRequest &request,
                              TimePoint sendBefore, Milliseconds timeout, Handler handler)
{
    const TimePoint deadline = Clock::now() + timeout;
    m_pool->run([loop = m_loop, clients = m_clients, address, epoch, request, sendBefore, deadline, handler] {
        const SendResult result = sendNow(clients.get(), address, epoch, request, sendBefore, deadline);
        loop->post([handler, result] {
            handler(result);
        });
    });
}

} // namespace fescueledge
