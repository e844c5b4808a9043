#pragma once

#include "fescueledge/endpointclient.h"
#include "fescueledge/random.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fescueledge {

class Loop;
class SimWorld;

/// The service endpoints on the workers in virtual time, and the truth about what ran on them.
///
/// An endpoint serves up to its slots at once and queues the rest. It gives a request up at its timeout.
class FakeEndpoints
{
public:
    /// What goes wrong at one endpoint. Probabilities are for each request.
    struct Faults
    {
        double refuse = 0; ///< No connection.
        double reset = 0; ///< Reset after some bytes; it may have run.
        double cut = 0; ///< The connection breaks halfway; the endpoint runs it to the end.
        double truncated = 0; ///< It runs; the answer stops short.
        double crossed = 0; ///< It runs; the answer carries another request's id.
        double twice = 0; ///< It runs; the answer comes twice.
        double late = 0; ///< It runs; the answer comes after the timeout.
        bool failsEverything = false; ///< Answers 500 at once.
        double slowdown = 1.0; ///< Factor on the service time.
    };

    /// One endpoint and what it has seen.
    struct Endpoint
    {
        Faults faults;
        int slots = 8;
        int connections = 64;
        double serviceMs = 5;
        int serving = 0;
        int open = 0; ///< Connections with a request on them.
        int maxServing = 0;
        int maxOpen = 0;
        std::deque<std::function<void()>> queue;
    };

    FakeEndpoints(SimWorld *world, std::uint64_t seed);

    Endpoint &add(const std::string &address);
    Endpoint &at(const std::string &address);
    /// How often the request whose body is @p body ran.
    int runs(const std::string &body) const;
    /// How often the request with id @p id ran.
    int runsOfRequest(const std::string &id) const;
    /// The answer that a request with body @p body gets.
    static std::string answerTo(const std::string &body);

    std::chrono::microseconds latency{1000}; ///< One way between a node and an endpoint.
    /// Gives the service time of one request in milliseconds; an exponential tail by default.
    std::function<double(const Endpoint &, Random &)> serviceTime;

private:
    friend class FakeEndpointClient;
    struct Exchange;
    using ExchangePtr = std::shared_ptr<Exchange>;

    void arrive(const ExchangePtr &exchange);
    void serve(const ExchangePtr &exchange);
    void cutLater(const ExchangePtr &exchange, Duration delay);
    void leave(Endpoint &endpoint);
    void reply(const ExchangePtr &exchange);

    SimWorld *m_world;
    Random m_random;
    std::map<std::string, Endpoint> m_endpoints;
    std::map<std::string, int> m_runs;
    std::map<std::string, int> m_runsOfRequest;
};

/// The endpoint client of one simulated node.
class FakeEndpointClient : public EndpointClient
{
public:
    FakeEndpointClient(FakeEndpoints *endpoints, Loop *loop);
    void send(const std::string &address, Epoch epoch, const ServiceRequest &request, TimePoint sendBefore,
              Milliseconds timeout, Handler handler) override;

private:
    FakeEndpoints *m_endpoints;
    Loop *m_loop;
};

} // namespace fescueledge
