#include "fescueledge/testing/fakeendpoints.h"

#include "fescueledge/loop.h"
#include "fescueledge/testing/simworld.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>

namespace fescueledge {

namespace {

constexpr int okStatus = 200;
constexpr int errorStatus = 500;

Duration fromMs(double ms)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

SendResult failure(RunOutcome outcome, const std::string &detail)
{
    SendResult result;
    result.outcome = outcome;
    result.detail = detail;
    return result;
}

} // namespace

/// One request on one connection. The handler gets only the first result.
struct FakeEndpoints::Exchange
{
    Endpoint *endpoint = nullptr;
    ServiceRequest request;
    TimePoint deadline; ///< In simulated time.
    Loop *loop = nullptr;
    EndpointClient::Handler handler;
    bool finished = false;

    void finish(const SendResult &result)
    {
        if (!finished) {
            finished = true;
            handler(result);
        }
    }
};

FakeEndpoints::FakeEndpoints(SimWorld *world, std::uint64_t seed)
    : m_world(world)
    , m_random(seed)
{
    serviceTime = [](const Endpoint &endpoint, Random &random) {
        const double tail = -0.5 * std::log(1 - random.unit());
        return endpoint.serviceMs * endpoint.faults.slowdown * (0.5 + tail);
    };
}

FakeEndpoints::Endpoint &FakeEndpoints::add(const std::string &address)
{
    return m_endpoints[address];
}

FakeEndpoints::Endpoint &FakeEndpoints::at(const std::string &address)
{
    return m_endpoints.at(address);
}

int FakeEndpoints::runs(const std::string &body) const
{
    const auto it = m_runs.find(body);
    return it == m_runs.end() ? 0 : it->second;
}

int FakeEndpoints::runsOfRequest(const std::string &id) const
{
    const auto it = m_runsOfRequest.find(id);
    return it == m_runsOfRequest.end() ? 0 : it->second;
}

std::string FakeEndpoints::answerTo(const std::string &body)
{
    return "answer to " + body;
}

void FakeEndpoints::arrive(const ExchangePtr &exchange)
{
    Endpoint &endpoint = *exchange->endpoint;
    const bool isFull = endpoint.open >= endpoint.connections;
    if (isFull || m_random.chance(endpoint.faults.refuse)) {
        m_world->after(latency, [exchange] {
            exchange->loop->post([exchange] {
                exchange->finish(failure(RunOutcome::NotRun, "connection refused"));
            });
        });
        return;
    }
    endpoint.maxOpen = std::max(endpoint.maxOpen, ++endpoint.open);
    if (endpoint.serving >= endpoint.slots) {
        endpoint.queue.emplace_back([this, exchange] {
            serve(exchange);
        });
        return;
    }
    serve(exchange);
}

void FakeEndpoints::serve(const ExchangePtr &exchange)
{
    Endpoint &endpoint = *exchange->endpoint;
    const Duration left = exchange->deadline - m_world->now();
    endpoint.maxServing = std::max(endpoint.maxServing, ++endpoint.serving);
    if (left <= Duration::zero() || endpoint.faults.failsAllRequests) {
        if (left > Duration::zero()) {
            reply(exchange);
        }
        leave(endpoint);
        return;
    }
    const Duration service = fromMs(serviceTime(endpoint, m_random));
    ++m_runs[exchange->request.body];
    ++m_runsOfRequest[exchange->request.id];
    if (m_random.chance(endpoint.faults.cut)) {
        cutLater(exchange, std::min(service, left) / 2);
    }
    m_world->after(std::min(service, left), [this, exchange, service, left] {
        if (service < left) {
            reply(exchange);
        }
        leave(*exchange->endpoint);
    });
}

void FakeEndpoints::cutLater(const ExchangePtr &exchange, Duration delay)
{
    m_world->after(delay, [exchange] {
        exchange->loop->post([exchange] {
            exchange->finish(failure(RunOutcome::Unknown, "connection lost"));
        });
    });
}

void FakeEndpoints::leave(Endpoint &endpoint)
{
    --endpoint.serving;
    --endpoint.open;
    if (!endpoint.queue.empty() && endpoint.serving < endpoint.slots) {
        const std::function<void()> next = std::move(endpoint.queue.front());
        endpoint.queue.pop_front();
        next();
    }
}

void FakeEndpoints::reply(const ExchangePtr &exchange)
{
    const Faults &faults = exchange->endpoint->faults;
    SendResult result;
    result.ok = true;
    result.response.status = faults.failsAllRequests ? errorStatus : okStatus;
    result.response.body = answerTo(exchange->request.body);
    Duration delay = latency;
    int copies = 1;
    if (m_random.chance(faults.reset)) {
        result = failure(RunOutcome::Unknown, "connection reset");
    } else if (m_random.chance(faults.truncated)) {
        result = failure(RunOutcome::Unknown, "the answer is shorter than its length says");
    } else if (m_random.chance(faults.crossed)) {
        result = failure(RunOutcome::Unknown, "the answer carries another request's id");
    } else if (m_random.chance(faults.late)) {
        delay += std::chrono::seconds(5);
    } else if (m_random.chance(faults.twice)) {
        copies = 2;
    }
    for (int n = 0; n < copies; ++n) {
        m_world->after(delay, [exchange, result] {
            exchange->loop->post([exchange, result] {
                exchange->finish(result);
            });
        });
    }
}

FakeEndpointClient::FakeEndpointClient(FakeEndpoints *endpoints, Loop *loop)
    : m_endpoints(endpoints)
    , m_loop(loop)
{
}

void FakeEndpointClient::send(const std::string &address, Epoch, const ServiceRequest &request, TimePoint sendBefore,
                              Milliseconds timeout, Handler handler)
{
    const auto exchange = std::make_shared<FakeEndpoints::Exchange>();
    exchange->endpoint = &m_endpoints->at(address);
    exchange->request = request;
    exchange->loop = m_loop;
    exchange->handler = std::move(handler);
    exchange->deadline = m_endpoints->m_world->now() + timeout;
    if (m_loop->now() >= sendBefore) {
        m_loop->post([exchange] {
            exchange->finish(failure(RunOutcome::NotRun, "the right to send has lapsed"));
        });
        return;
    }
    FakeEndpoints *endpoints = m_endpoints;
    endpoints->m_world->after(endpoints->latency, [endpoints, exchange] {
        endpoints->arrive(exchange);
    });
    m_loop->postAfter(timeout, [exchange] {
        exchange->finish(failure(RunOutcome::Unknown, "timeout"));
    });
}

} // namespace fescueledge
