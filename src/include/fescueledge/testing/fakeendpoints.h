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

/// Simulated service endpoints on workers, in virtual time, with a record of the requests that ran on them.
///
/// An endpoint serves as many requests at once as it has slots and queues the rest. It drops a request at its timeout.
class FakeEndpoints
{
public:
    /// Faults to inject at one endpoint. Probabilities are per request.
    struct Faults
    {
        double refuse = 0; ///< The connection is refused.
        double reset = 0; ///< The connection is reset after some bytes; the request may have run.
        double cut = 0; ///< The connection breaks halfway; the endpoint completes the request.
        double truncated = 0; ///< The request runs; the answer is truncated.
        double crossed = 0; ///< The request runs; the answer carries another request's id.
        double twice = 0; ///< The request runs; the answer is sent twice.
        double late = 0; ///< The request runs; the answer arrives after the timeout.
        bool failsAllRequests = false; ///< Answers 500 immediately.
        double slowdown = 1.0; ///< Factor on the service time.
    };

    /// State of one endpoint.
    struct Endpoint
    {
        Faults faults;
        int slots = 8;
        int connections = 64;
        double serviceMs = 5;
        int serving = 0;
        int open = 0; ///< Connections with a request in flight.
        int maxServing = 0;
        int maxOpen = 0;
        std::deque<std::function<void()>> queue;
    };

    FakeEndpoints(SimWorld *world, std::uint64_t seed);

    Endpoint &add(const std::string &address);
    Endpoint &at(const std::string &address);
    /// Number of times that the request with body @p body ran.
    int runs(const std::string &body) const;
    /// Number of times that the request with id @p id ran.
    int runsOfRequest(const std::string &id) const;
    /// The answer to a request with body @p body.
    static std::string answerTo(const std::string &body);

    std::chrono::microseconds latency{1000}; ///< One-way latency between a node and an endpoint.
    /// Returns the service time of one request in milliseconds; has an exponential tail by default.
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
