#include "outcomesystem_pvt.h"

#include "fescueledge/authority.h"
#include "fescueledge/controlstate.h"
#include "fescueledge/invariant.h"
#include "fescueledge/loop.h"

#include "attemptend_pvt.h"
#include "capacitytable_pvt.h"
#include "partitionset_pvt.h"
#include "queuecontext_pvt.h"
#include "queuepartition_pvt.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace fescueledge {

/// One `outcome` call, answered once every item is settled or deferred.
struct OutcomeSystem::Call
{
    OutcomeReply reply;
    std::size_t pendingItems = 0;
    PeerTransport::Responder respond;

    void settle(const OutcomeReport::Item &item, bool obsolete)
    {
        reply.settled.push_back({item.report.task, item.report.attempt, obsolete});
        itemDone();
    }

    /// Counts an item as processed, settled or not, and sends the answer after the last one.
    void itemDone()
    {
        if (--pendingItems == 0) {
            respond(PeerMessage{"outcome", reply});
        }
    }
};

namespace {

DataCentreId dataCentreOfRack(const ShardId &shard)
{
    const std::size_t first = shard.find(':');
    const std::size_t second = shard.find(':', first + 1);
    return second == std::string::npos ? DataCentreId() : shard.substr(first + 1, second - first - 1);
}

} // namespace

OutcomeSystem::OutcomeSystem(QueueContext *context, PartitionSet *partitions, CapacityTable *capacity)
    : m_context(context)
    , m_partitions(partitions)
    , m_capacity(capacity)
{
}

void OutcomeSystem::start()
{
    m_context->transport->setReceiver(
        "outcome", [this](const NodeId &from, const PeerMessage &message, const PeerTransport::Responder &respond) {
            onOutcome(from, message.body.get<OutcomeReport>(), respond);
        });
}

void OutcomeSystem::onOutcome(const NodeId &from, const OutcomeReport &report, const PeerTransport::Responder &respond)
{
    const auto call = std::make_shared<Call>();
    call->respond = respond;
    // One more than the items, so that the answer is not sent before the loop has processed all of them.
    call->pendingItems = report.items.size() + 1;
    for (const OutcomeReport::Item &it : report.items) {
        onItem(from, it, call);
    }
    call->itemDone();
}

void OutcomeSystem::onItem(const NodeId &from, const OutcomeReport::Item &item, const std::shared_ptr<Call> &call)
{
    const JobId id = jobOfTask(item.report.task);
    const std::shared_ptr<QueuePartition> partition = m_partitions->activeFor(id);
    if (!partition) {
        call->itemDone();
        return;
    }
    // Every job with a claimed task is in memory, so a job that is not found has ended.
    Job *job = partition->jobs().find(id);
    const int index = indexOfTask(item.report.task);
    if (job == nullptr || index < 0 || index >= job->record.spec.taskCount) {
        call->settle(item, true);
        return;
    }
    const TaskRecord *task = job->findTask(index);
    const Attempt current = task == nullptr ? 0 : task->attempt;
    assertInvariant(item.report.attempt <= current, Invariant::VersionMonotonic,
                    "task=" + item.report.task + " attempt=" + std::to_string(item.report.attempt));
    if (item.report.attempt != current || task->state != TaskState::Claimed) {
        call->settle(item, item.report.attempt != current || !item.report.isTerminal());
        return;
    }
    if (!item.report.isTerminal() && !item.workerLost) {
        onRunning(*job, index, item);
        call->itemDone();
        return;
    }
    onTerminal(from, *partition, *job, index, item, call);
}

void OutcomeSystem::onRunning(Job &job, int index, const OutcomeReport::Item &item)
{
    assertInvariant(item.worker == job.task(index).worker, Invariant::SingleAttempt,
                    "task=" + item.report.task + " worker=" + item.worker + " worker=" + job.task(index).worker);
    LiveAttempt &attempt = job.attempts[index];
    attempt.isRunning = true;
    attempt.lastConfirmed = m_context->loop->now();
}

void OutcomeSystem::onTerminal(const NodeId &from, QueuePartition &partition, Job &job, int index,
                               const OutcomeReport::Item &item, const std::shared_ptr<Call> &call)
{
    if (job.busy.count(index) != 0) {
        call->itemDone();
        return;
    }
    const AttemptEnd end = decideAttemptEnd(job.record, job.task(index), item);
    Change change;
    change.job = job.id;
    change.index = index;
    change.next = end.next;
    change.delay = m_context->jittered(end.delay);
    change.done = [this, item, call, next = end.next](bool) {
        LOG_IF(INFO, next.state == TaskState::Failed)
            << "task_failed task=" << item.report.task << " worker=" << item.worker << " failures=" << next.failures
            << " losses=" << next.losses;
        countEnd(next);
        call->settle(item, false);
    };
    if (!partition.writer().stage(std::move(change))) {
        call->itemDone();
        return;
    }
    job.busy.insert(index);
    creditFreedCapacity(from, job, job.task(index));
}

void OutcomeSystem::countEnd(const TaskRecord &next)
{
    QueueCounters &counters = m_context->counters;
    if (next.state == TaskState::Finished) {
        ++counters.finishes;
    } else if (!next.history.empty() && next.history.back().end == "checkpointed") {
        ++counters.evictions;
    } else if (!next.history.empty() && next.history.back().end == "lost") {
        ++counters.losses;
    }
}

void OutcomeSystem::creditFreedCapacity(const NodeId &from, const Job &job, const TaskRecord &task)
{
    const Pool *pool = m_context->authority->control()->poolOfWorker(task.worker);
    const std::string poolName = pool == nullptr ? std::string() : pool->name;
    m_capacity->recordFreed(from, poolName, dataCentreOfRack(task.shard), job.record.spec.resources);
}

} // namespace fescueledge
