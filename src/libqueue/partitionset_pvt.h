#pragma once

#include "fescueledge/authority.h"

#include <array>
#include <memory>
#include <vector>

namespace fescueledge {

class QueuePartition;
struct QueueContext;
struct Job;

/// The queue partitions that this node owns.
class PartitionSet
{
public:
    explicit PartitionSet(QueueContext *context);

    /// Loads the partitions that this node acquired and drops those that it lost.
    void refresh();
    /// Partitions that are loaded and for which this node may act now.
    std::vector<std::shared_ptr<QueuePartition>> active() const;
    /// The partition of @p job if it is loaded and this node may act for it now, or nullptr.
    std::shared_ptr<QueuePartition> activeFor(const JobId &job) const;
    /// The partition of @p job if this node owns it, loaded or not, or nullptr.
    std::shared_ptr<QueuePartition> ownedFor(const JobId &job) const;
    /// Writes the changes that are due.
    void flush();

private:
    QueueContext *m_context;
    std::array<std::shared_ptr<QueuePartition>, queuePartitions> m_partitions;
};

} // namespace fescueledge
