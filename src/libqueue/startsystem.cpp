#include "startsystem_pvt.h"

#include "fescueledge/authority.h"
#include "fescueledge/loop.h"
#include "fescueledge/peertransport.h"

#include "partitionset_pvt.h"
#include "queuecontext_pvt.h"
#include "queuepartition_pvt.h"

#include <nlohmann/json.hpp>

namespace fescueledge {

namespace {

constexpr std::size_t maxStartsPerMessage = 256;
constexpr Milliseconds callTimeout{1000};
constexpr Milliseconds confirmationCheckInterval{500};
/// An unconfirmed start is sent again after this time.
constexpr Milliseconds startRetryInterval{1000};
/// The start of an attempt that was not confirmed for this long is sent again.
constexpr Milliseconds confirmationTimeout{10000};
constexpr Milliseconds stopRetryInterval{1000};

Reservation makeClaim(const TaskId &task, const TaskRecord &record)
{
    Reservation claim;
    claim.task = task;
    claim.attempt = record.attempt;
    claim.granted = true;
    claim.worker = record.worker;
    claim.shard = record.shard;
    claim.epoch = record.epoch;
    claim.shardRowVersion = record.shardRowVersion;
    return claim;
}

} // namespace

StartSystem::StartSystem(QueueContext *context, PartitionSet *partitions)
    : m_context(context)
    , m_partitions(partitions)
{
}

void StartSystem::enqueue(const JobId &job, int index)
{
    m_queued.insert({job, index});
}

void StartSystem::tick()
{
    const TimePoint now = m_context->loop->now();
    if (now - m_lastConfirmationCheck >= confirmationCheckInterval) {
        m_lastConfirmationCheck = now;
        queueUnconfirmedStarts(now);
        sendStops(now);
    }
    sendStarts();
}

void StartSystem::queueUnconfirmedStarts(TimePoint now)
{
    for (const std::shared_ptr<QueuePartition> &partition : m_partitions->active()) {
        for (const auto &[id, job] : partition->jobs().all()) {
            queueUnconfirmedStartsOf(*job, now);
        }
    }
}

void StartSystem::queueUnconfirmedStartsOf(Job &job, TimePoint now)
{
    for (const auto &[index, attempt] : job.attempts) {
        const NodeId owner = m_context->authority->ownerOf(job.task(index).shard);
        const bool isConfirmed = attempt.confirmedBy == owner && now - attempt.lastConfirmed < confirmationTimeout;
        if (!isConfirmed && now - attempt.lastStartSent >= startRetryInterval) {
            m_queued.insert({job.id, index});
        }
    }
}

void StartSystem::sendStarts()
{
    std::map<NodeId, std::vector<TaskRef>> starts;
    const TimePoint now = m_context->loop->now();
    for (const TaskRef &it : std::exchange(m_queued, {})) {
        const std::shared_ptr<QueuePartition> partition = m_partitions->activeFor(it.first);
        Job *job = partition ? partition->jobs().find(it.first) : nullptr;
        if (job == nullptr || job->attempts.count(it.second) == 0) {
            continue;
        }
        const NodeId owner = m_context->authority->ownerOf(job->task(it.second).shard);
        job->attempts[it.second].lastStartSent = now;
        if (!owner.empty()) {
            starts[owner].push_back(it);
        }
    }
    for (const auto &[node, tasks] : starts) {
        for (std::size_t i = 0; i < tasks.size(); i += maxStartsPerMessage) {
            const std::size_t end = std::min(tasks.size(), i + maxStartsPerMessage);
            send(node,
                 std::vector<TaskRef>(tasks.begin() + static_cast<std::ptrdiff_t>(i),
                                      tasks.begin() + static_cast<std::ptrdiff_t>(end)));
        }
    }
}

void StartSystem::send(const NodeId &node, const std::vector<TaskRef> &tasks)
{
    StartRequest request;
    for (const TaskRef &it : tasks) {
        Job *job = m_partitions->activeFor(it.first)->jobs().find(it.first);
        request.claims.push_back(makeClaim(taskId(it.first, it.second), job->task(it.second)));
    }
    m_context->transport->call(node, PeerMessage{"start", request}, callTimeout,
                               [this, node, tasks](const PeerResult &result) {
                                   if (result.answered && result.reply.kind == "start") {
                                       onStarted(node, tasks);
                                   }
                               });
}

void StartSystem::onStarted(const NodeId &node, const std::vector<TaskRef> &tasks)
{
    for (const TaskRef &it : tasks) {
        const std::shared_ptr<QueuePartition> partition = m_partitions->activeFor(it.first);
        Job *job = partition ? partition->jobs().find(it.first) : nullptr;
        if (job == nullptr) {
            continue;
        }
        const auto attempt = job->attempts.find(it.second);
        if (attempt != job->attempts.end()) {
            attempt->second.confirmedBy = node;
            attempt->second.lastConfirmed = m_context->loop->now();
        }
    }
}

void StartSystem::sendStops(TimePoint now)
{
    for (const std::shared_ptr<QueuePartition> &partition : m_partitions->active()) {
        for (const JobId &id : partition->jobs().closed()) {
            Job &job = *partition->jobs().find(id);
            if (!job.attempts.empty() && now - job.lastStopSent >= stopRetryInterval) {
                job.lastStopSent = now;
                sendStop(job);
            }
        }
    }
}

void StartSystem::sendStop(Job &job)
{
    std::map<NodeId, ControlRequest> requests;
    for (const auto &[index, attempt] : job.attempts) {
        const TaskRecord &task = job.task(index);
        const NodeId owner = m_context->authority->ownerOf(task.shard);
        if (!owner.empty()) {
            requests[owner].items.push_back({taskId(job.id, index), task.attempt, task.worker, false});
        }
    }
    for (const auto &[node, request] : requests) {
        m_context->transport->call(node, PeerMessage{"control", request}, callTimeout, [](const PeerResult &) {});
    }
}

} // namespace fescueledge
