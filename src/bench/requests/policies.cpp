#include "policies.h"

#include "fescueledge/random.h"

namespace fescueledge {

namespace {

/// Chooses the least loaded endpoint by the last report, at random among equals.
class LeastReportedChoice : public EndpointChoice
{
public:
    explicit LeastReportedChoice(const LoadReport *report)
        : m_report(report)
    {
    }
    const char *measure() const override
    {
        return "reported_load";
    }
    double cost(const EndpointCandidate &candidate) const override
    {
        const auto it = m_report->find(candidate.worker);
        return it == m_report->end() ? 0 : it->second;
    }
    std::size_t choose(const std::vector<EndpointCandidate> &candidates, Random &random) override
    {
        std::vector<std::size_t> best;
        for (std::size_t n = 0; n < candidates.size(); ++n) {
            if (best.empty() || cost(candidates[n]) < cost(candidates[best.front()])) {
                best = {n};
            } else if (cost(candidates[n]) == cost(candidates[best.front()])) {
                best.push_back(n);
            }
        }
        return best[random.below(best.size())];
    }

private:
    const LoadReport *m_report;
};

RequestPolicy baseline(const std::shared_ptr<EndpointChoice> &choice)
{
    RequestPolicy policy;
    policy.choice = choice;
    policy.hedging = false;
    policy.ejection = false;
    policy.forwarding = false;
    return policy;
}

} // namespace

const std::vector<BenchPolicy> &benchPolicies()
{
    static const std::vector<BenchPolicy> policies{
        {"random", false,
         [](const LoadReport *) {
             return baseline(makeRandomChoice());
         }},
        {"round robin", false,
         [](const LoadReport *) {
             return baseline(makeRoundRobinChoice());
         }},
        {"least reported", false,
         [](const LoadReport *report) {
             return baseline(std::make_shared<LeastReportedChoice>(report));
         }},
        {"two random", false,
         [](const LoadReport *) {
             return baseline(makeTwoRandomChoice());
         }},
        {"weight+carry", false,
         [](const LoadReport *) {
             return baseline(makeWeightCarryChoice());
         }},
        {"owners, two random", true,
         [](const LoadReport *) {
             RequestPolicy policy;
             policy.choice = makeTwoRandomChoice();
             policy.hedging = false;
             policy.ejection = false;
             return policy;
         }},
        {"fescueledge, no hedge", true,
         [](const LoadReport *) {
             RequestPolicy policy;
             policy.hedging = false;
             return policy;
         }},
        {"fescueledge", true,
         [](const LoadReport *) {
             return RequestPolicy();
         }},
    };
    return policies;
}

} // namespace fescueledge
