#pragma once

#include "job_pvt.h"

#include <memory>
#include <set>
#include <utility>

namespace fescueledge {

class PartitionSet;
class QueuePartition;
struct QueueContext;

/// Tells rack owners which attempts to run, and which to stop.
///
/// A start is repeated until the owner of the rack answers, and again when the rack has another owner or nothing was
/// heard of the attempt for a while. It is idempotent: a rack owner that does not have the attempt answers with an
/// outcome, so every claimed attempt gets one, whoever was killed in between.
class StartSystem
{
public:
    StartSystem(QueueContext *context, PartitionSet *partitions);

    /// The claim of this attempt is durable.
    void enqueue(const JobId &job, int index);
    /// Sends what was queued; from time to time looks for attempts that nobody answers for.
    void tick();

private:
    using TaskRef = std::pair<JobId, int>;

    void queueUnconfirmedStarts(TimePoint now);
    void queueUnconfirmedStartsOf(Job &job, TimePoint now);
    void sendStarts();
    void send(const NodeId &node, const std::vector<TaskRef> &tasks);
    void onStarted(const NodeId &node, const std::vector<TaskRef> &tasks);
    void sendStops(TimePoint now);
    void sendStop(Job &job);

    QueueContext *m_context;
    PartitionSet *m_partitions;
    std::set<TaskRef> m_queued;
    TimePoint m_lastConfirmationCheck;
};

} // namespace fescueledge
