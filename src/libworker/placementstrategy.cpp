#include "placementstrategy_pvt.h"

#include "fescueledge/error.h"
#include "fescueledge/random.h"
#include "fescueledge/workerpolicy.h"
#include "workertable_pvt.h"

#include <algorithm>

namespace fescueledge {

namespace {

using Candidates = std::vector<PlacementCandidate>;

std::size_t cheapest(const Candidates &candidates)
{
    const auto it = std::min_element(candidates.begin(), candidates.end(),
                                     [](const PlacementCandidate &a, const PlacementCandidate &b) {
                                         return a.cost < b.cost;
                                     });
    return static_cast<std::size_t>(it - candidates.begin());
}

class FirstFitStrategy : public PlacementStrategy
{
public:
    const char *name() const override
    {
        return "first-fit";
    }
    const char *measure() const override
    {
        return "order";
    }
    std::size_t choose(const TaskOffer &, Candidates *candidates) override
    {
        for (std::size_t i = 0; i < candidates->size(); ++i) {
            (*candidates)[i].cost = static_cast<double>(i);
        }
        return 0;
    }
};

class RandomStrategy : public PlacementStrategy
{
public:
    explicit RandomStrategy(Random *random)
        : m_random(random)
    {
    }
    const char *name() const override
    {
        return "random";
    }
    const char *measure() const override
    {
        return "chance";
    }
    std::size_t choose(const TaskOffer &, Candidates *candidates) override
    {
        return m_random->below(candidates->size());
    }

private:
    Random *m_random;
};

class LeastLoadedStrategy : public PlacementStrategy
{
public:
    const char *name() const override
    {
        return "least-loaded";
    }
    const char *measure() const override
    {
        return "reported-load";
    }
    std::size_t choose(const TaskOffer &, Candidates *candidates) override
    {
        for (PlacementCandidate &candidate : *candidates) {
            candidate.cost = candidate.reportedLoad;
        }
        return cheapest(*candidates);
    }
};

class TwoChoicesStrategy : public PlacementStrategy
{
public:
    explicit TwoChoicesStrategy(Random *random)
        : m_random(random)
    {
    }
    const char *name() const override
    {
        return "two-choices";
    }
    const char *measure() const override
    {
        return "reported-load";
    }
    std::size_t choose(const TaskOffer &, Candidates *candidates) override
    {
        for (PlacementCandidate &candidate : *candidates) {
            candidate.cost = candidate.reportedLoad;
        }
        const std::size_t a = m_random->below(candidates->size());
        const std::size_t b = m_random->below(candidates->size());
        return (*candidates)[a].cost <= (*candidates)[b].cost ? a : b;
    }

private:
    Random *m_random;
};

/// Weighted selection with carry, as for metadata nodes in "CubeFS: technology of metadata": each worker accumulates
/// its free share; the worker with the largest sum is chosen and its sum reduced by one.
class WeightCarryStrategy : public PlacementStrategy
{
public:
    const char *name() const override
    {
        return "weight-carry";
    }
    const char *measure() const override
    {
        return "carry";
    }
    std::size_t choose(const TaskOffer &, Candidates *candidates) override
    {
        for (PlacementCandidate &candidate : *candidates) {
            candidate.worker->carry += std::max(0.0, 1 - candidate.reportedLoad);
            candidate.cost = -candidate.worker->carry;
        }
        const std::size_t choice = cheapest(*candidates);
        (*candidates)[choice].worker->carry -= 1;
        return choice;
    }
};

/// Weighs the predicted latency of the service against the load that the worker would have.
class MeasuredStrategy : public PlacementStrategy
{
public:
    explicit MeasuredStrategy(const WorkerPolicy &policy)
        : m_interferenceWeight(policy.interferenceWeight)
        , m_packingWeight(policy.packingWeight)
    {
    }
    const char *name() const override
    {
        return "measured";
    }
    const char *measure() const override
    {
        return "predicted-latency-and-load";
    }
    std::size_t choose(const TaskOffer &, Candidates *candidates) override
    {
        for (PlacementCandidate &candidate : *candidates) {
            const double ratio = candidate.predictedRatio;
            candidate.cost = m_interferenceWeight * ratio * ratio + m_packingWeight * candidate.expectedLoad;
        }
        return cheapest(*candidates);
    }

private:
    double m_interferenceWeight;
    double m_packingWeight;
};

} // namespace

std::unique_ptr<PlacementStrategy> makePlacementStrategy(const WorkerPolicy &policy, Random *random)
{
    if (policy.placement == "measured") {
        return std::make_unique<MeasuredStrategy>(policy);
    }
    if (policy.placement == "first-fit") {
        return std::make_unique<FirstFitStrategy>();
    }
    if (policy.placement == "random") {
        return std::make_unique<RandomStrategy>(random);
    }
    if (policy.placement == "least-loaded") {
        return std::make_unique<LeastLoadedStrategy>();
    }
    if (policy.placement == "two-choices") {
        return std::make_unique<TwoChoicesStrategy>(random);
    }
    if (policy.placement == "weight-carry") {
        return std::make_unique<WeightCarryStrategy>();
    }
    throw Error(ErrorKind::InvalidSettings, "unknown placement strategy: " + policy.placement);
}

} // namespace fescueledge
