#include "shardassigner_pvt.h"

#include "nodetable_pvt.h"
#include "rendezvous_pvt.h"

#include <algorithm>
#include <tuple>

namespace fescueledge {

namespace {

const std::string rackPrefix = "rack:";

} // namespace

DataCentreId dataCentreOfShard(const ShardId &shard)
{
    if (shard.compare(0, rackPrefix.size(), rackPrefix) != 0) {
        return {};
    }
    const std::size_t end = shard.find(':', rackPrefix.size());
    return shard.substr(rackPrefix.size(), end - rackPrefix.size());
}

ShardAssigner::ShardAssigner(const NodeTable *nodes, const LeaseTimings &timings)
    : m_nodes(nodes)
    , m_timings(timings)
{
}

std::vector<NodeId> ShardAssigner::ranking(const ShardId &shard, TimePoint now) const
{
    const DataCentreId dataCentre = dataCentreOfShard(shard);
    std::vector<std::tuple<bool, std::uint64_t, NodeId>> ranked;
    for (const auto &[node, entry] : m_nodes->entries()) {
        if (isCandidate(entry, now)) {
            ranked.emplace_back(entry.row.identity.dataCentre == dataCentre, rendezvousWeight(shard, node), node);
        }
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<NodeId> nodes;
    nodes.reserve(ranked.size());
    for (const auto &[isNear, hash, node] : ranked) {
        nodes.push_back(node);
    }
    return nodes;
}

bool ShardAssigner::isCandidate(const NodeEntry &entry, TimePoint now) const
{
    const Duration limit = m_timings.withDrift(m_timings.storeLease) + m_timings.directoryInterval;
    const bool isRenewing = now - entry.versionSeenAt < limit;
    return isRenewing && !entry.row.fenced && !entry.row.draining && !entry.row.group.empty();
}

} // namespace fescueledge
