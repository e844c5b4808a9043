#pragma once

#include "fescueledge/types.h"

#include <memory>
#include <vector>

namespace fescueledge {

class Random;

/// What a choice strategy knows of one endpoint that could take a request now.
struct EndpointCandidate
{
    WorkerId worker;
    int inFlight = 0; ///< Exact count of this node's own requests on it, and those inherited.
    int slots = 1;
    double latencyMs = 0; ///< Recent latency that this node saw, aged.
    double failureShare = 0; ///< Recent share of failed requests, aged.
};

/// Picks one of the endpoints that could take a request. Implementations may keep state; not thread-safe.
class EndpointChoice
{
public:
    virtual ~EndpointChoice() = default;
    /// Name of the measure, as `explain` shows it.
    virtual const char *measure() const = 0;
    /// The cost of @p candidate in that measure; the lowest is best.
    virtual double cost(const EndpointCandidate &candidate) const = 0;
    /// Index of the chosen one of @p candidates, which are ordered by worker and not empty.
    virtual std::size_t choose(const std::vector<EndpointCandidate> &candidates, Random &random) = 0;
};

/// Uniformly at random.
std::shared_ptr<EndpointChoice> makeRandomChoice();
/// One after the other.
std::shared_ptr<EndpointChoice> makeRoundRobinChoice();
/// The one with less own load of two picked at random.
std::shared_ptr<EndpointChoice> makeTwoRandomChoice();
/// The largest carry; each choice takes 1 off, and rounds add the free share as weight (CubeFS).
std::shared_ptr<EndpointChoice> makeWeightCarryChoice();
/// The least expected latency: recent latency, grown by the load and by the failures that would need a retry.
std::shared_ptr<EndpointChoice> makeLatencyAwareChoice();

} // namespace fescueledge
