#include "attemptsystem_pvt.h"

#include "fescueledge/authority.h"
#include "fescueledge/invariant.h"
#include "fescueledge/loop.h"
#include "fescueledge/vmdirectory.h"
#include "fescueledge/workermessages.h"
#include "quarantinesystem_pvt.h"
#include "workercontext_pvt.h"

#include <glog/logging.h>

namespace fescueledge {

using Phase = AttemptRow::Phase;

AttemptSystem::AttemptSystem(WorkerContext *context, QuarantineSystem *quarantine)
    : m_context(context)
    , m_quarantine(quarantine)
{
}

void AttemptSystem::applyReply(WorkerRow *worker, const WorkerReply &reply)
{
    std::set<AttemptKey> reported;
    for (const TaskReport &report : reply.tasks) {
        reported.insert({report.task, report.attempt});
        applyReport(*worker, report);
    }
    for (AttemptRow *row : m_context->tables.attemptsOn(worker->vm.name)) {
        if (reported.count({row->task, row->attempt}) == 0) {
            handleUnreported(*worker, row);
        }
    }
}

void AttemptSystem::applyReport(const WorkerRow &worker, const TaskReport &report)
{
    AttemptRow *row = m_context->tables.findAttempt(report.task, report.attempt);
    if (row == nullptr && report.isTerminal() && m_context->tables.endedRecently({report.task, report.attempt})) {
        return;
    }
    if (row == nullptr || row->worker != worker.vm.name) {
        row = adopt(worker, report);
    }
    if (row == nullptr) {
        return;
    }
    if (row->phase == Phase::Ended) {
        row->isStillRunning = !report.isTerminal();
        return;
    }
    if (report.isTerminal()) {
        row->report = report;
        if (report.state == TaskReport::State::Failed) {
            m_context->sizes.observeFailure(row->offer.kind, report.used, row->allocation);
        }
        end(row, report.state, report.detail, false);
        return;
    }
    if (row->phase != Phase::Running) {
        row->phase = Phase::Running;
        row->startedAt = m_context->loop->now();
    }
    row->report = report;
    m_context->sizes.observe(row->offer.kind, report.used);
}

AttemptRow *AttemptSystem::adopt(const WorkerRow &worker, const TaskReport &report)
{
    WorkerTables &tables = m_context->tables;
    const AttemptRow *other = tables.findAttempt(report.task, report.attempt);
    if (other != nullptr && report.isTerminal()) {
        return nullptr;
    }
    if (other != nullptr) {
        assertInvariant(other->phase == Phase::Held || other->phase == Phase::Ended, Invariant::SingleAttempt,
                        "task=" + report.task + " worker=" + worker.vm.name + " worker=" + other->worker);
        tables.removeAttempt({report.task, report.attempt}, m_context->loop->now());
    }
    AttemptRow row;
    row.task = report.task;
    row.attempt = report.attempt;
    row.worker = worker.vm.name;
    row.shard = worker.shard;
    row.epoch = worker.epoch;
    row.phase = Phase::Running;
    row.startedAt = m_context->loop->now();
    row.appliedCpuShare = 0;
    parseAttemptLabel(report.label, row.offer);
    row.allocation = report.limit == Resources() ? worker.vm.capacity : report.limit;
    LOG(INFO) << "attempt_adopted task=" << row.task << " attempt=" << row.attempt << " worker=" << row.worker;
    return &tables.addAttempt(row);
}

void AttemptSystem::handleUnreported(const WorkerRow &worker, AttemptRow *row)
{
    if (row->phase == Phase::Running) {
        end(row, TaskReport::State::Stopped, "the worker no longer has the attempt", true);
        return;
    }
    const bool sent = row->startBefore.count() > 0;
    const bool startable = m_context->loop->now() < row->holdUntil;
    if (row->phase == Phase::Starting && sent && !startable && worker.clock > row->startBefore) {
        end(row, TaskReport::State::Refused, "the start command did not reach the worker in time", false);
    }
}

void AttemptSystem::run()
{
    std::map<WorkerId, WorkerRow> &workers = m_context->tables.workers;
    for (auto it = workers.begin(); it != workers.end(); ++it) {
        updateAttemptsOn(it->second);
    }
    removeOrphans();
    m_context->tables.expireRecentlyEnded(m_context->loop->now());
}

void AttemptSystem::updateAttemptsOn(const WorkerRow &worker)
{
    const bool lost = worker.vmRemoved || leasesExpired(worker);
    for (AttemptRow *row : m_context->tables.attemptsOn(worker.vm.name)) {
        const bool sent = row->phase == Phase::Running || row->startBefore.count() > 0;
        if (lost && row->usesCapacity() && sent) {
            end(row, TaskReport::State::Stopped, worker.vmRemoved ? "the VM vanished" : "the lease lapsed", true);
        } else if (row->phase == Phase::Ended && row->settled && worker.vmRemoved) {
            m_context->tables.removeAttempt({row->task, row->attempt}, m_context->loop->now());
        } else {
            expireWaiting(worker, row);
        }
    }
}

void AttemptSystem::expireWaiting(const WorkerRow &worker, AttemptRow *row)
{
    const TimePoint now = m_context->loop->now();
    const bool startable = now < row->holdUntil;
    if (row->phase == Phase::Held && !startable) {
        m_context->tables.removeAttempt({row->task, row->attempt}, now);
    } else if (row->phase == Phase::Starting && row->startBefore.count() == 0) {
        if (!startable || worker.isLeaving() || m_context->isDataCentreOut(worker)) {
            end(row, TaskReport::State::Refused, "the hold lapsed before the start", false);
        }
    }
}

void AttemptSystem::end(AttemptRow *row, TaskReport::State state, const std::string &detail, bool workerLost)
{
    row->phase = Phase::Ended;
    row->workerLost = workerLost;
    row->report.task = row->task;
    row->report.attempt = row->attempt;
    row->report.state = state;
    row->report.detail = detail;
    row->reportedAt = TimePoint();
    m_quarantine->onAttemptEnded(*row);
    LOG(INFO) << "attempt_ended task=" << row->task << " attempt=" << row->attempt << " worker=" << row->worker
              << " state=" << taskReportStateName(state) << " lost=" << workerLost << " detail=\"" << detail << "\"";
}

void AttemptSystem::endUnknown(const WorkerRow &worker, const TaskId &task, Attempt attempt, Epoch claimEpoch)
{
    if (!worker.vmRemoved && !worker.adopted && !leasesExpired(worker)) {
        return;
    }
    if (claimEpoch == worker.epoch) {
        addEnded(worker.vm.name, worker.shard, {task, attempt}, TaskReport::State::Refused, "no room is held for it");
    } else {
        addEnded(worker.vm.name, worker.shard, {task, attempt}, TaskReport::State::Stopped,
                 "the worker does not have the attempt");
    }
}

void AttemptSystem::endOnUnlistedWorker(const WorkerId &worker, const ShardId &shard, const TaskId &task,
                                        Attempt attempt)
{
    const bool vanished = m_context->vmDirectory->missingSince(worker).has_value();
    const bool unlisted = m_context->vmDirectory->find(worker) == nullptr;
    if (vanished || (unlisted && m_context->earlierLeasesExpired(shard))) {
        addEnded(worker, shard, {task, attempt}, TaskReport::State::Stopped, "the VM is not listed");
    }
}

void AttemptSystem::addEnded(const WorkerId &worker, const ShardId &shard, const AttemptKey &key,
                             TaskReport::State state, const std::string &detail)
{
    const std::optional<Epoch> epoch = m_context->authority->ownedEpoch(shard);
    if (m_context->tables.endedRecently(key) || !epoch.has_value()) {
        return;
    }
    AttemptRow row;
    row.task = key.first;
    row.attempt = key.second;
    row.worker = worker;
    row.shard = shard;
    row.epoch = *epoch;
    end(&m_context->tables.addAttempt(row), state, detail, state != TaskReport::State::Refused);
}

void AttemptSystem::removeOrphans()
{
    std::vector<AttemptKey> orphans;
    std::map<AttemptKey, AttemptRow> &attempts = m_context->tables.attempts;
    for (auto it = attempts.begin(); it != attempts.end(); ++it) {
        const AttemptRow &row = it->second;
        const bool owned = m_context->acquisitions.count(row.shard) > 0;
        if (m_context->tables.findWorker(row.worker) == nullptr && (row.settled || !owned)) {
            orphans.push_back(it->first);
        }
    }
    for (const AttemptKey &key : orphans) {
        m_context->tables.removeAttempt(key, m_context->loop->now());
    }
}

bool AttemptSystem::leasesExpired(const WorkerRow &worker) const
{
    return m_context->mayAct(worker) && m_context->leaseExpired(worker.renewalDeadline);
}

bool AttemptSystem::mayStart(const WorkerRow &worker) const
{
    return worker.adopted && worker.clockKnown && !worker.isLeaving() && !m_context->isDataCentreOut(worker)
        && !m_context->isSilent(worker);
}

} // namespace fescueledge
