#pragma once

#include "fescueledge/types.h"

#include <memory>
#include <vector>

namespace fescueledge {

class Random;

/// The input of a choice strategy about one endpoint that can accept a request now.
struct EndpointCandidate
{
    WorkerId worker;
    int inFlight = 0; ///< Exact number of this node's requests on it, plus those inherited from earlier owners.
    int slots = 1;
    double latencyMs = 0; ///< Recent latency observed by this node, with decay.
    double failureShare = 0; ///< Recent share of failed requests, with decay.
};

/// Picks one of the endpoints that can accept a request. Implementations may keep state; not thread-safe.
class EndpointChoice
{
public:
    virtual ~EndpointChoice() = default;
    /// Name of the measure, as `explain` shows it.
    virtual const char *measure() const = 0;
    /// The cost of @p candidate in that measure; the lowest is best.
    virtual double cost(const EndpointCandidate &candidate) const = 0;
    /// Index of the chosen candidate. @p candidates are ordered by worker and must not be empty.
    virtual std::size_t choose(const std::vector<EndpointCandidate> &candidates, Random &random) = 0;
};

/// Chooses uniformly at random.
std::shared_ptr<EndpointChoice> makeRandomChoice();
/// Chooses the candidates in turn.
std::shared_ptr<EndpointChoice> makeRoundRobinChoice();
/// Picks two at random and chooses the one with less load from this node (power of two choices).
std::shared_ptr<EndpointChoice> makeTwoRandomChoice();
/// Chooses the largest carry-over weight; each choice subtracts 1, and each round adds the free share as weight, as in
/// CubeFS.
std::shared_ptr<EndpointChoice> makeWeightCarryChoice();
/// Chooses the least expected latency: recent latency, increased for load and for failures that would need a retry.
std::shared_ptr<EndpointChoice> makeLatencyAwareChoice();

} // namespace fescueledge
