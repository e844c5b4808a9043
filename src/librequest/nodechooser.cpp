#include "nodechooser_pvt.h"

#include <algorithm>

namespace fescueledge {

namespace {

/// Another node is chosen only if it is expected to be faster than this node by more than this factor.
constexpr double minForwardSpeedup = 1.25;
/// Nodes whose expected time is within this factor of the best share the load.
constexpr double similarFactor = 1.25;

} // namespace

NodeChooser::NodeChooser(std::uint64_t seed)
    : m_random(seed)
{
}

double NodeChooser::expectedMs(const RemoteCapacity::Candidate &candidate)
{
    const PoolLoad &load = candidate.load;
    double waitMs = 0;
    if (load.freeSlots == 0) {
        waitMs = load.latencyMs * (1.0 + load.queued) / std::max(1, load.totalSlots);
        waitMs = std::max(waitMs, load.latencyMs);
    }
    return candidate.hopMs + waitMs + load.latencyMs;
}

std::optional<NodeId> NodeChooser::choose(const RemoteCapacity::Candidate &self,
                                          const std::vector<RemoteCapacity::Candidate> &others,
                                          const std::set<NodeId> &avoid, DecisionRecord *record)
{
    DecisionStep step{"place", "expected_ms", "", {}};
    std::vector<const RemoteCapacity::Candidate *> usable;
    double bestMs = 0;
    for (const RemoteCapacity::Candidate &it : others) {
        const double ms = expectedMs(it);
        const bool isAvoided = avoid.count(it.node) != 0;
        step.candidates.push_back({it.node, ms, isAvoided ? "tried before" : ""});
        if (!isAvoided) {
            bestMs = usable.empty() ? ms : std::min(bestMs, ms);
            usable.push_back(&it);
        }
    }
    const double selfMs = expectedMs(self);
    const bool isSelfUsable = self.load.totalSlots > 0 && avoid.count(self.node) == 0;
    step.candidates.push_back({self.node, selfMs, isSelfUsable ? "" : "owns no free endpoint or was tried before"});
    if (isSelfUsable && (usable.empty() || selfMs <= bestMs * minForwardSpeedup)) {
        step.chosen = self.node;
    } else if (!usable.empty()) {
        step.chosen = pickRemote(usable, bestMs);
    }
    const NodeId chosen = step.chosen;
    if (record != nullptr) {
        record->steps.push_back(std::move(step));
    }
    return chosen.empty() ? std::nullopt : std::optional<NodeId>(chosen);
}

NodeId NodeChooser::pickRemote(const std::vector<const RemoteCapacity::Candidate *> &others, double bestMs)
{
    std::size_t total = 0;
    std::vector<std::size_t> weights;
    for (const RemoteCapacity::Candidate *it : others) {
        const bool isSimilar = expectedMs(*it) <= bestMs * similarFactor;
        weights.push_back(isSimilar ? static_cast<std::size_t>(it->load.freeSlots) + 1 : 0);
        total += weights.back();
    }
    std::size_t n = m_random.below(total);
    for (std::size_t it = 0; it < others.size(); ++it) {
        if (n < weights[it]) {
            return others[it]->node;
        }
        n -= weights[it];
    }
    return others.back()->node;
}

} // namespace fescueledge
