#include "nodechoice_pvt.h"

#include "fescueledge/random.h"

namespace fescueledge {

namespace {

/// Chooses at random in proportion to the free capacity, so that queue owners that act on the same stale notice spread
/// their offers.
class WeightedByCapacity : public NodeChoiceStrategy
{
public:
    const CapacityTable::Candidate &choose(const std::vector<CapacityTable::Candidate> &candidates,
                                           Random &random) const override
    {
        double total = 0;
        for (const CapacityTable::Candidate &it : candidates) {
            total += weight(it);
        }
        double point = random.unit() * total;
        for (const CapacityTable::Candidate &it : candidates) {
            point -= weight(it);
            if (point < 0) {
                return it;
            }
        }
        return candidates.back();
    }

private:
    static double weight(const CapacityTable::Candidate &candidate)
    {
        constexpr double minimumWeight = 0.01;
        return candidate.freeSlots + minimumWeight;
    }
};

class RandomNode : public NodeChoiceStrategy
{
public:
    const CapacityTable::Candidate &choose(const std::vector<CapacityTable::Candidate> &candidates,
                                           Random &random) const override
    {
        return candidates[random.below(candidates.size())];
    }
};

} // namespace

std::unique_ptr<NodeChoiceStrategy> makeNodeChoice(QueuePolicy::NodeChoice choice)
{
    if (choice == QueuePolicy::NodeChoice::Random) {
        return std::make_unique<RandomNode>();
    }
    return std::make_unique<WeightedByCapacity>();
}

} // namespace fescueledge
