#include "partitionset_pvt.h"

#include "queuecontext_pvt.h"
#include "queuepartition_pvt.h"

#include <algorithm>
#include <glog/logging.h>

namespace fescueledge {

PartitionSet::PartitionSet(QueueContext *context)
    : m_context(context)
{
}

void PartitionSet::refresh()
{
    const Authority &authority = *m_context->authority;
    const std::vector<ShardId> owned = authority.ownedShards();
    for (int i = 0; i < queuePartitions; ++i) {
        std::shared_ptr<QueuePartition> &partition = m_partitions[static_cast<std::size_t>(i)];
        const ShardId shard = queueShard(i);
        if (std::find(owned.begin(), owned.end(), shard) == owned.end()) {
            partition.reset();
            continue;
        }
        const std::optional<Epoch> epoch = authority.ownedEpoch(shard);
        const std::optional<RowVersion> version = authority.ownedRowVersion(shard);
        if (!epoch || !version) {
            continue;
        }
        const bool current = partition && partition->epoch() == *epoch && partition->shardRowVersion() == *version
            && !partition->writer().isSuperseded();
        if (!current) {
            partition = std::make_shared<QueuePartition>(m_context, i, *epoch, *version);
            partition->load();
        }
    }
}

std::vector<std::shared_ptr<QueuePartition>> PartitionSet::active() const
{
    std::vector<std::shared_ptr<QueuePartition>> result;
    for (const std::shared_ptr<QueuePartition> &it : m_partitions) {
        if (it && it->isReady() && it->mayAct()) {
            result.push_back(it);
        }
    }
    return result;
}

std::shared_ptr<QueuePartition> PartitionSet::ownedFor(const JobId &job) const
{
    return m_partitions[static_cast<std::size_t>(partitionOfJob(job))];
}

std::shared_ptr<QueuePartition> PartitionSet::activeFor(const JobId &job) const
{
    const std::shared_ptr<QueuePartition> partition = ownedFor(job);
    return partition && partition->isReady() && partition->mayAct() ? partition : nullptr;
}

void PartitionSet::flush()
{
    for (const std::shared_ptr<QueuePartition> &it : active()) {
        it->writer().flush();
    }
}

} // namespace fescueledge
