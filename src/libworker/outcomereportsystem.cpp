#include "outcomereportsystem_pvt.h"

#include "fescueledge/authority.h"
#include "fescueledge/loop.h"
#include "fescueledge/peertransport.h"
#include "workercontext_pvt.h"

#include <glog/logging.h>
#include <map>

namespace fescueledge {

namespace {

constexpr std::size_t maxItemsPerCall = 500;

/// Returns what a queue owner needs to know about a running attempt, which excludes its measured usage.
TaskReport runningReport(const AttemptRow &row)
{
    TaskReport report;
    report.task = row.task;
    report.attempt = row.attempt;
    report.state = TaskReport::State::Running;
    return report;
}

} // namespace

OutcomeReportSystem::OutcomeReportSystem(WorkerContext *context)
    : m_context(context)
{
}

void OutcomeReportSystem::run()
{
    std::map<NodeId, Keys> keys;
    std::map<AttemptKey, AttemptRow> &attempts = m_context->tables.attempts;
    for (auto it = attempts.begin(); it != attempts.end(); ++it) {
        if (!isDue(it->second)) {
            continue;
        }
        const int partition = partitionOfJob(jobOfTask(it->first.first));
        const NodeId owner = m_context->authority->ownerOf(queueShard(partition));
        Keys &list = keys[owner];
        if (!owner.empty() && m_pendingCalls.count(owner) == 0 && list.size() < maxItemsPerCall) {
            list.push_back(it->first);
        }
    }
    for (auto it = keys.begin(); it != keys.end(); ++it) {
        if (!it->second.empty()) {
            send(it->first, it->second);
        }
    }
}

bool OutcomeReportSystem::isDue(const AttemptRow &row) const
{
    const Duration age = m_context->loop->now() - row.reportedAt;
    if (row.phase == AttemptRow::Phase::Ended) {
        return !row.settled && age >= m_context->timings.outcomeInterval;
    }
    return row.phase == AttemptRow::Phase::Running && age >= m_context->timings.runningInterval;
}

void OutcomeReportSystem::send(const NodeId &node, const Keys &keys)
{
    OutcomeReport report;
    std::set<std::pair<TaskId, Attempt>> ends;
    for (const std::pair<TaskId, Attempt> &key : keys) {
        AttemptRow &row = m_context->tables.attempts.at(key);
        row.reportedAt = m_context->loop->now();
        if (row.phase == AttemptRow::Phase::Ended) {
            report.items.push_back({row.report, row.worker, row.epoch, row.workerLost});
            ends.insert(key);
        } else {
            report.items.push_back({runningReport(row), row.worker, row.epoch, false});
        }
    }
    m_pendingCalls.insert(node);
    m_context->transport->call(node, {"outcome", report}, m_context->timings.callTimeout,
                               [this, node, ends](const PeerResult &result) {
                                   receive(node, ends, result);
                               });
}

void OutcomeReportSystem::receive(const NodeId &node, const std::set<std::pair<TaskId, Attempt>> &ends,
                                  const PeerResult &result)
{
    m_pendingCalls.erase(node);
    if (!result.answered) {
        return;
    }
    OutcomeReply reply;
    try {
        reply = result.reply.body.get<OutcomeReply>();
    } catch (const nlohmann::json::exception &) {
        LOG(WARNING) << "outcome_reply_malformed node=" << node;
        return;
    }
    for (const OutcomeReply::Item &item : reply.settled) {
        settle(item, ends.count({item.task, item.attempt}) > 0);
    }
}

void OutcomeReportSystem::settle(const OutcomeReply::Item &item, bool end)
{
    AttemptRow *row = m_context->tables.findAttempt(item.task, item.attempt);
    if (row == nullptr) {
        return;
    }
    if (row->phase == AttemptRow::Phase::Ended) {
        row->settled = row->settled || end || item.obsolete;
    } else if (item.obsolete && row->phase != AttemptRow::Phase::Held) {
        row->stopRequested = true;
    }
    WorkerRow *worker = m_context->tables.findWorker(row->worker);
    if (worker != nullptr) {
        worker->exchangeRequested = worker->exchangeRequested || row->stopRequested;
    }
}

} // namespace fescueledge
