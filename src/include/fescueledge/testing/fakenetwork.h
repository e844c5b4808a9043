#pragma once

#include "fescueledge/peertransport.h"
#include "fescueledge/random.h"

#include <map>
#include <set>
#include <utility>

namespace fescueledge {

class FakePeerTransport;
class SimWorld;

/// The links between simulated daemons in virtual time: latency, loss and cuts.
class FakeNetwork
{
public:
    FakeNetwork(SimWorld *world, std::uint64_t seed);

    /// Cuts or restores the link from @p from to @p to, in this direction only.
    void setCut(const NodeId &from, const NodeId &to, bool cut);
    /// Cuts or restores all links of @p node, in both directions.
    void setIsolated(const NodeId &node, bool isolated);
    /// True if a message from @p from would reach @p to.
    bool connected(const NodeId &from, const NodeId &to) const;

    std::chrono::microseconds latency{1000}; ///< One-way latency.
    double loss = 0; ///< Probability that a message is lost.

private:
    friend class FakePeerTransport;
    /// Runs @p deliver after the latency unless the message is lost.
    void carry(const NodeId &from, const NodeId &to, std::function<void()> deliver);

    SimWorld *m_world;
    Random m_random;
    std::map<NodeId, FakePeerTransport *> m_transports;
    std::set<std::pair<NodeId, NodeId>> m_cuts;
    std::set<NodeId> m_isolated;
};

} // namespace fescueledge
