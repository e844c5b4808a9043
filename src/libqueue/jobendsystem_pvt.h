#pragma once

#include "fescueledge/types.h"

namespace fescueledge {

class CapacityTable;
class PartitionSet;
class QueuePartition;
struct Job;
struct QueueContext;

/// Ends jobs: archives those whose tasks all ended, and closes those that no worker could ever hold.
class JobEndSystem
{
public:
    JobEndSystem(QueueContext *context, PartitionSet *partitions, const CapacityTable *capacity);

    void tick();

private:
    void archiveSettled(QueuePartition &partition);
    void closeNeverRunnable(QueuePartition &partition);
    bool isNeverRunnable(const Job &job) const;

    QueueContext *m_context;
    PartitionSet *m_partitions;
    const CapacityTable *m_capacity;
    TimePoint m_lastCheck;
};

} // namespace fescueledge
