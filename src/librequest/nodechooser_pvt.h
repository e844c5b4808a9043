#pragma once

#include "remotecapacity_pvt.h"

#include "fescueledge/random.h"

#include <optional>
#include <set>

namespace fescueledge {

/// Picks the node that runs an attempt: this node, or another one that owns endpoints of the pool.
class NodeChooser
{
public:
    explicit NodeChooser(std::uint64_t seed);

    /// The chosen node; nothing if no node can take the attempt. @p self is this node with its exact load. Nodes in
    /// @p avoid are excluded. Adds the candidates to @p record unless it is null.
    std::optional<NodeId> choose(const RemoteCapacity::Candidate &self,
                                 const std::vector<RemoteCapacity::Candidate> &others, const std::set<NodeId> &avoid,
                                 DecisionRecord *record);

    /// Expected time until the response: round trip to the node, wait for a slot, and latency of the endpoint.
    static double expectedMs(const RemoteCapacity::Candidate &candidate);

private:
    NodeId pickRemote(const std::vector<const RemoteCapacity::Candidate *> &others, double bestMs);

    Random m_random;
};

} // namespace fescueledge
