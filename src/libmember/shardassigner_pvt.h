#pragma once

#include "fescueledge/leasetimings.h"

#include <vector>

namespace fescueledge {

class NodeTable;
struct NodeEntry;

/// Ranks the nodes that may own a shard by rendezvous hashing over the nodes that are up. For the shard of a rack, the
/// nodes of the rack's data centre come first.
class ShardAssigner
{
public:
    ShardAssigner(const NodeTable *nodes, const LeaseTimings &timings);

    /// Returns the nodes that can own @p shard, most preferred first.
    std::vector<NodeId> ranking(const ShardId &shard, TimePoint now) const;

private:
    bool isCandidate(const NodeEntry &entry, TimePoint now) const;

    const NodeTable *m_nodes;
    LeaseTimings m_timings;
};

/// Returns the data centre in the name of a rack's shard; empty for a queue partition.
DataCentreId dataCentreOfShard(const ShardId &shard);

} // namespace fescueledge
