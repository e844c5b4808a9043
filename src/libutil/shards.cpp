#include "fescueledge/authority.h"
#include "fescueledge/digest.h"

#include <cstdio>

namespace fescueledge {

std::string shardKey(const ShardId &shard)
{
    return "shard/" + shard;
}

ShardId rackShard(const DataCentreId &dataCentre, const std::string &rack)
{
    return "rack:" + dataCentre + ":" + rack;
}

ShardId queueShard(int partition)
{
    char buf[16];
    std::snprintf(buf, sizeof(buf), "queue:%02d", partition);
    return buf;
}

int partitionOfJob(const JobId &job)
{
    return static_cast<int>(fastHash(job) % queuePartitions);
}

JobId jobOfTask(const TaskId &task)
{
    const std::size_t n = task.find('/');
    return n == std::string::npos ? JobId() : task.substr(0, n);
}

} // namespace fescueledge
