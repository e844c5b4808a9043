#include "fescueledge/endpointchoice.h"

#include "fescueledge/random.h"

#include <algorithm>
#include <map>

namespace fescueledge {

namespace {

double utilization(const EndpointCandidate &candidate)
{
    return static_cast<double>(candidate.inFlight) / std::max(1, candidate.slots);
}

class RandomChoice : public EndpointChoice
{
public:
    const char *measure() const override
    {
        return "random";
    }
    double cost(const EndpointCandidate &) const override
    {
        return 0;
    }
    std::size_t choose(const std::vector<EndpointCandidate> &candidates, Random &random) override
    {
        return random.below(candidates.size());
    }
};

class RoundRobinChoice : public EndpointChoice
{
public:
    const char *measure() const override
    {
        return "round_robin";
    }
    double cost(const EndpointCandidate &) const override
    {
        return 0;
    }
    std::size_t choose(const std::vector<EndpointCandidate> &candidates, Random &) override
    {
        for (std::size_t n = 0; n < candidates.size(); ++n) {
            if (candidates[n].worker > m_lastWorker) {
                m_lastWorker = candidates[n].worker;
                return n;
            }
        }
        m_lastWorker = candidates.front().worker;
        return 0;
    }

private:
    WorkerId m_lastWorker;
};

class TwoRandomChoice : public EndpointChoice
{
public:
    const char *measure() const override
    {
        return "own_load_of_two";
    }
    double cost(const EndpointCandidate &candidate) const override
    {
        return utilization(candidate);
    }
    std::size_t choose(const std::vector<EndpointCandidate> &candidates, Random &random) override
    {
        const std::size_t a = random.below(candidates.size());
        const std::size_t b = random.below(candidates.size());
        return cost(candidates[b]) < cost(candidates[a]) ? b : a;
    }
};

/// Weight plus carry, as in the CubeFS paper: picks the endpoint with the largest carry and subtracts 1 from it. While
/// no carry reaches 1, adds to each its weight, the share of free slots.
class WeightCarryChoice : public EndpointChoice
{
public:
    const char *measure() const override
    {
        return "weight_carry";
    }
    double cost(const EndpointCandidate &candidate) const override
    {
        const auto it = m_carry.find(candidate.worker);
        return it == m_carry.end() ? 0 : -it->second;
    }
    std::size_t choose(const std::vector<EndpointCandidate> &candidates, Random &random) override
    {
        std::size_t best = largestCarry(candidates, random);
        while (m_carry[candidates[best].worker] < 1) {
            for (const EndpointCandidate &it : candidates) {
                m_carry[it.worker] += std::max(minWeight, 1 - utilization(it));
            }
            best = largestCarry(candidates, random);
        }
        m_carry[candidates[best].worker] -= 1;
        return best;
    }

private:
    static constexpr double minWeight = 0.01;

    std::size_t largestCarry(const std::vector<EndpointCandidate> &candidates, Random &random)
    {
        std::size_t best = 0;
        double bestCarry = -1;
        for (std::size_t n = 0; n < candidates.size(); ++n) {
            const auto it = m_carry.find(candidates[n].worker);
            const double carry = it != m_carry.end() ? it->second : m_carry[candidates[n].worker] = random.unit();
            if (carry > bestCarry) {
                best = n;
                bestCarry = carry;
            }
        }
        return best;
    }

    std::map<WorkerId, double> m_carry;
};

class LatencyAwareChoice : public EndpointChoice
{
public:
    const char *measure() const override
    {
        return "expected_latency_ms";
    }
    double cost(const EndpointCandidate &candidate) const override
    {
        return cost(candidate, candidate.latencyMs);
    }
    std::size_t choose(const std::vector<EndpointCandidate> &candidates, Random &random) override
    {
        double lowestMs = candidates.front().latencyMs;
        for (const EndpointCandidate &it : candidates) {
            lowestMs = std::min(lowestMs, it.latencyMs);
        }
        // Latencies up to this value count as equal, since they may differ by chance alone; utilization then decides.
        const double similarMs = similarFactor * lowestMs;
        // Starts at a random index so that, at equal cost, the first candidate does not get all requests.
        const std::size_t start = random.below(candidates.size());
        std::size_t best = start;
        for (std::size_t n = 1; n < candidates.size(); ++n) {
            const std::size_t it = (start + n) % candidates.size();
            if (cost(candidates[it], similarMs) < cost(candidates[best], similarMs)) {
                best = it;
            }
        }
        return best;
    }

private:
    static constexpr double similarFactor = 2.0;

    static double cost(const EndpointCandidate &candidate, double floorMs)
    {
        const double successShare = std::max(0.05, 1 - candidate.failureShare);
        return std::max(candidate.latencyMs, floorMs) * (1 + utilization(candidate)) / successShare;
    }
};

} // namespace

std::shared_ptr<EndpointChoice> makeRandomChoice()
{
    return std::make_shared<RandomChoice>();
}

std::shared_ptr<EndpointChoice> makeRoundRobinChoice()
{
    return std::make_shared<RoundRobinChoice>();
}

std::shared_ptr<EndpointChoice> makeTwoRandomChoice()
{
    return std::make_shared<TwoRandomChoice>();
}

std::shared_ptr<EndpointChoice> makeWeightCarryChoice()
{
    return std::make_shared<WeightCarryChoice>();
}

std::shared_ptr<EndpointChoice> makeLatencyAwareChoice()
{
    return std::make_shared<LatencyAwareChoice>();
}

} // namespace fescueledge
