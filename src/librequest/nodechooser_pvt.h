#pragma once

#include "remotecapacity_pvt.h"

#include "fescueledge/random.h"

#include <optional>
#include <set>

namespace fescueledge {

/// Picks the node that runs an attempt: this one, or another owner of the pool.
class NodeChooser
{
public:
    explicit NodeChooser(std::uint64_t seed);

    /// The chosen node; nothing if no owner is known. @p self is this node with its exact load. Nodes in @p avoid are
    /// left out. The candidates go to @p record unless that is null.
    std::optional<NodeId> choose(const RemoteCapacity::Candidate &self,
                                 const std::vector<RemoteCapacity::Candidate> &others, const std::set<NodeId> &avoid,
                                 DecisionRecord *record);

    /// Expected time until the answer: hop, wait for a slot, latency.
    static double expectedMs(const RemoteCapacity::Candidate &candidate);

private:
    NodeId pickRemote(const std::vector<const RemoteCapacity::Candidate *> &others, double bestMs);

    Random m_random;
};

} // namespace fescueledge
