#pragma once

#include "fescueledge/leasetimings.h"

#include <vector>

namespace fescueledge {

class NodeTable;
struct NodeEntry;

/// Says which nodes should own a shard: rendezvous hashing over the nodes that are up, where a rack prefers the nodes
/// of its own data centre.
class ShardAssigner
{
public:
    ShardAssigner(const NodeTable *nodes, const LeaseTimings &timings);

    /// The nodes that could own @p shard, best first.
    std::vector<NodeId> ranking(const ShardId &shard, TimePoint now) const;

private:
    bool isCandidate(const NodeEntry &entry, TimePoint now) const;

    const NodeTable *m_nodes;
    LeaseTimings m_timings;
};

/// The data centre in the name of a rack's shard; empty for a queue partition.
DataCentreId dataCentreOfShard(const ShardId &shard);

} // namespace fescueledge
