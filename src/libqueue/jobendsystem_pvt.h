#pragma once

#include "fescueledge/types.h"

namespace fescueledge {

class CapacityTable;
class PartitionSet;
class QueuePartition;
struct Job;
struct QueueContext;

/// Archives jobs whose tasks have all ended, and closes jobs whose tasks are too large for every worker.
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
