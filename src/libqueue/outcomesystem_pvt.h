#pragma once

#include "fescueledge/dispatchmessages.h"
#include "fescueledge/peertransport.h"

#include "jobrecord_pvt.h"

#include <memory>

namespace fescueledge {

class CapacityTable;
class PartitionSet;
class QueuePartition;
struct Job;
struct QueueContext;

/// Makes the outcomes of attempts durable, then acknowledges them to the rack owners.
///
/// Only the current attempt of a claimed task counts. A report of any other attempt is answered as obsolete. A
/// report that can't be decided now is left out of the answer; the rack owner sends it again.
class OutcomeSystem
{
public:
    OutcomeSystem(QueueContext *context, PartitionSet *partitions, CapacityTable *capacity);

    void start();

private:
    struct Call;

    void onOutcome(const NodeId &from, const OutcomeReport &report, const PeerTransport::Responder &respond);
    void onItem(const NodeId &from, const OutcomeReport::Item &item, const std::shared_ptr<Call> &call);
    void onRunning(Job &job, int index, const OutcomeReport::Item &item);
    void onTerminal(const NodeId &from, QueuePartition &partition, Job &job, int index, const OutcomeReport::Item &item,
                    const std::shared_ptr<Call> &call);
    void countEnd(const TaskRecord &next);
    void creditFreedCapacity(const NodeId &from, const Job &job, const TaskRecord &task);

    QueueContext *m_context;
    PartitionSet *m_partitions;
    CapacityTable *m_capacity;
};

} // namespace fescueledge
