#pragma once

#include "fescueledge/peertransport.h"
#include "fescueledge/random.h"

#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

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
    /// Holds up the messages to and from @p node, or delivers those that were held up.
    void setHeld(const NodeId &node, bool held);
    /// True if a message from @p from would reach @p to.
    bool connected(const NodeId &from, const NodeId &to) const;

    std::chrono::microseconds latency{1000}; ///< One-way latency.
    std::map<NodeId, std::uint64_t> sentTo; ///< Number of messages sent so far, by receiver.
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
    std::map<NodeId, std::vector<std::function<void()>>> m_held; ///< Messages by the node for which they are held up.
};

} // namespace fescueledge
