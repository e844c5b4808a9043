#include "exchangesystem_pvt.h"

#include "attemptsystem_pvt.h"
#include "commandbuilder_pvt.h"
#include "fescueledge/authority.h"
#include "fescueledge/invariant.h"
#include "fescueledge/loop.h"
#include "fescueledge/workeragent.h"
#include "workercontext_pvt.h"

#include <algorithm>
#include <glog/logging.h>
#include <optional>

namespace fescueledge {

ExchangeSystem::ExchangeSystem(WorkerContext *context, AttemptSystem *attempts)
    : m_context(context)
    , m_attempts(attempts)
{
}

void ExchangeSystem::run()
{
    const TimePoint now = m_context->loop->now();
    std::map<WorkerId, WorkerRow> &workers = m_context->tables.workers;
    for (auto it = workers.begin(); it != workers.end(); ++it) {
        WorkerRow &worker = it->second;
        const bool due = worker.exchangeRequested || now - worker.lastSend >= m_context->timings.exchangeInterval;
        if (due && !worker.exchangePending && !worker.vmRemoved) {
            send(&worker);
        }
    }
}

void ExchangeSystem::send(WorkerRow *worker)
{
    if (!m_context->mayAct(*worker)) {
        return;
    }
    const TimePoint now = m_context->loop->now();
    WorkerRequest request;
    request.owner = m_context->authority->self();
    request.epoch = worker->epoch;
    request.lease = m_context->timings.workerLease;
    TimePoint limit = std::min(m_context->authority->actUntil(), now + m_context->timings.renewWindow);
    if (worker->adopted) {
        addCommands(worker, &request, &limit);
    }
    if (worker->clockKnown && !m_context->isSilent(*worker)) {
        request.startBefore = toWorkerClock(*worker, limit);
        worker->renewalDeadline = std::max(worker->renewalDeadline, limit);
    }
    for (const TaskCommand &command : request.commands) {
        if (command.kind == TaskCommand::Kind::Start) {
            AttemptRow *row = m_context->tables.findAttempt(command.task, command.attempt);
            row->startBefore = std::max(row->startBefore, request.startBefore);
        }
    }
    worker->exchangePending = true;
    worker->exchangeRequested = false;
    worker->lastSend = now;
    const WorkerId name = worker->vm.name;
    const std::uint64_t serial = worker->generation;
    m_context->agent->exchange(worker->vm, request, m_context->timings.exchangeTimeout,
                               [this, name, serial, request](const WorkerExchangeResult &result) {
                                   receive(name, serial, request, result);
                               });
}

void ExchangeSystem::addCommands(WorkerRow *worker, WorkerRequest *request, TimePoint *limit)
{
    const TimePoint now = m_context->loop->now();
    const bool mayStart = m_attempts->mayStart(*worker);
    bool starts = false;
    for (const AttemptRow *row : m_context->tables.attemptsOn(worker->vm.name)) {
        const std::optional<TaskCommand> command = commandFor(*worker, *row, now, mayStart);
        if (!command.has_value()) {
            continue;
        }
        request->commands.push_back(*command);
        if (command->kind == TaskCommand::Kind::Start) {
            starts = true;
            *limit = std::min({*limit, now + m_context->timings.startWindow, row->holdUntil});
        }
    }
    if (starts) {
        assertStartsAllowed(*worker);
    }
}

void ExchangeSystem::assertStartsAllowed(const WorkerRow &worker) const
{
    const std::string ids = "worker=" + worker.vm.name + " epoch=" + std::to_string(worker.epoch);
    assertInvariant(!m_context->isDataCentreOut(worker) && !worker.isLeaving(), Invariant::StartAfterFence, ids);
    assertInvariant(m_context->tables.committed(worker.vm.name).fitsIn(worker.vm.capacity), Invariant::WorkerCapacity,
                    ids);
}

void ExchangeSystem::receive(const WorkerId &worker, std::uint64_t serial, const WorkerRequest &request,
                             const WorkerExchangeResult &result)
{
    WorkerRow *row = m_context->tables.findWorker(worker);
    if (row == nullptr || row->generation != serial) {
        return;
    }
    row->exchangePending = false;
    if (!result.answered) {
        return;
    }
    const WorkerReply &reply = result.reply;
    if (reply.fenced) {
        LOG(WARNING) << "worker_fenced worker=" << worker << " epoch=" << row->epoch << " seen=" << reply.epoch;
        return;
    }
    row->clockKnown = true;
    row->clock = reply.clock;
    row->clockReceivedAt = m_context->loop->now();
    row->lastReply = row->clockReceivedAt;
    row->used = reply.used;
    row->serviceP99 = reply.serviceP99;
    row->inheritedRequests =
        row->adopted ? std::min(row->inheritedRequests, reply.requestsInFlight) : reply.requestsInFlight;
    ++row->replyCount;
    applyAcknowledged(*row, request);
    m_attempts->applyReply(row, reply);
    if (!row->adopted) {
        row->adopted = true;
        row->exchangeRequested = true;
        LOG(INFO) << "worker_adopted worker=" << worker << " epoch=" << row->epoch << " tasks=" << reply.tasks.size();
    }
}

void ExchangeSystem::applyAcknowledged(const WorkerRow &worker, const WorkerRequest &request)
{
    for (const TaskCommand &command : request.commands) {
        AttemptRow *row = m_context->tables.findAttempt(command.task, command.attempt);
        if (row == nullptr || row->worker != worker.vm.name) {
            continue;
        }
        if (command.kind == TaskCommand::Kind::Throttle) {
            row->appliedCpuShare = command.cpuShare;
        } else if (command.kind == TaskCommand::Kind::Forget) {
            m_context->tables.removeAttempt({command.task, command.attempt}, m_context->loop->now());
        }
    }
}

Milliseconds ExchangeSystem::toWorkerClock(const WorkerRow &worker, TimePoint when) const
{
    const Duration ahead = when - worker.clockReceivedAt;
    const double slowest = 1 - m_context->timings.maxClockDrift;
    const Duration least(static_cast<Duration::rep>(static_cast<double>(ahead.count()) * slowest));
    const Milliseconds time = worker.clock + std::chrono::duration_cast<Milliseconds>(least);
    return std::max(time, Milliseconds(1));
}

} // namespace fescueledge
