#pragma once

#include "job_pvt.h"

#include <memory>
#include <set>
#include <utility>

namespace fescueledge {

class PartitionSet;
class QueuePartition;
struct QueueContext;

/// Sends starts and stops of attempts to the rack owners.
///
/// A start is sent again until the owner of the rack answers, and also when the rack changes owner or the attempt was
/// not confirmed for a while. It is idempotent: a rack owner that does not have the attempt answers with an outcome, so
/// every claimed attempt gets one, whichever node was killed in between.
class StartSystem
{
public:
    StartSystem(QueueContext *context, PartitionSet *partitions);

    /// Queues the start of an attempt whose claim is durable.
    void enqueue(const JobId &job, int index);
    /// Sends queued starts. Periodically also queues the starts of unconfirmed attempts again and stops closed jobs.
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
