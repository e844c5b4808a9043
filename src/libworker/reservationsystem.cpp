#include "reservationsystem_pvt.h"

#include "attemptsystem_pvt.h"
#include "fescueledge/authority.h"
#include "fescueledge/loop.h"
#include "placementsystem_pvt.h"
#include "preemptionsystem_pvt.h"
#include "workercontext_pvt.h"

#include <glog/logging.h>

namespace fescueledge {

using Phase = AttemptRow::Phase;

ReservationSystem::ReservationSystem(WorkerContext *context, AttemptSystem *attempts, PlacementSystem *placement,
                                     PreemptionSystem *preemption)
    : m_context(context)
    , m_attempts(attempts)
    , m_placement(placement)
    , m_preemption(preemption)
{
}

ReserveReply ReservationSystem::reserve(const ReserveRequest &request)
{
    ReserveReply reply;
    for (const TaskOffer &offer : request.offers) {
        reply.reservations.push_back(decideOffer(offer));
    }
    return reply;
}

Reservation ReservationSystem::decideOffer(const TaskOffer &offer)
{
    AttemptRow *known = m_context->tables.findAttempt(offer.task, offer.attempt);
    if (known != nullptr) {
        return renewHold(known);
    }
    Reservation refusal;
    refusal.task = offer.task;
    refusal.attempt = offer.attempt;
    if (m_context->tables.endedRecently({offer.task, offer.attempt})) {
        refusal.reason = "the attempt is over";
        return refusal;
    }
    const WorkerRow *worker = m_placement->choose(offer);
    if (worker == nullptr) {
        refusal.reason = m_placement->lastRefusalReason();
        if (offer.taskClass == TaskClass::LatencyCritical && m_preemption->preemptFor(offer)) {
            refusal.reason = "room is being made";
        }
        return refusal;
    }
    return grant(addHold(*worker, offer));
}

Reservation ReservationSystem::renewHold(AttemptRow *row)
{
    const WorkerRow *worker = m_context->tables.findWorker(row->worker);
    const bool valid = row->phase == Phase::Held && m_placement->acceptsNewAttempts(*worker);
    if (valid) {
        row->holdUntil = m_context->loop->now() + m_context->timings.holdTimeout;
        return grant(*row);
    }
    Reservation refusal;
    refusal.task = row->task;
    refusal.attempt = row->attempt;
    refusal.reason = row->phase == Phase::Held ? "the worker takes nothing new" : "the attempt was claimed";
    return refusal;
}

Reservation ReservationSystem::grant(const AttemptRow &row) const
{
    Reservation reservation;
    reservation.task = row.task;
    reservation.attempt = row.attempt;
    reservation.worker = row.worker;
    reservation.shard = row.shard;
    reservation.epoch = row.epoch;
    const std::optional<RowVersion> version = m_context->authority->ownedRowVersion(row.shard);
    reservation.granted = version.has_value();
    reservation.shardRowVersion = version.value_or(0);
    if (!reservation.granted) {
        reservation.reason = exclusionReasonName(ExclusionReason::NotActing);
    }
    return reservation;
}

AttemptRow &ReservationSystem::addHold(const WorkerRow &worker, const TaskOffer &offer)
{
    AttemptRow row;
    row.task = offer.task;
    row.attempt = offer.attempt;
    row.worker = worker.vm.name;
    row.shard = worker.shard;
    row.epoch = worker.epoch;
    row.offer = offer;
    row.allocation = m_placement->allocationOn(worker, offer);
    row.holdUntil = m_context->loop->now() + m_context->timings.holdTimeout;
    return m_context->tables.addAttempt(row);
}

bool ReservationSystem::start(const StartRequest &request)
{
    bool complete = true;
    for (const Reservation &claim : request.claims) {
        WorkerRow *worker = m_context->tables.findWorker(claim.worker);
        if (worker == nullptr) {
            complete = complete && m_context->authority->ownedEpoch(claim.shard).has_value();
            m_attempts->endOnUnlistedWorker(claim.worker, claim.shard, claim.task, claim.attempt);
        } else if (!m_context->mayAct(*worker)) {
            complete = false;
        } else {
            startClaim(worker, claim);
        }
    }
    return complete;
}

void ReservationSystem::startClaim(WorkerRow *worker, const Reservation &claim)
{
    AttemptRow *row = m_context->tables.findAttempt(claim.task, claim.attempt);
    if (row == nullptr) {
        m_attempts->endUnknown(*worker, claim.task, claim.attempt, claim.epoch);
        return;
    }
    if (row->phase == Phase::Ended) {
        row->reportedAt = TimePoint();
        return;
    }
    if (row->phase != Phase::Held) {
        return;
    }
    const bool inTime = m_context->loop->now() < row->holdUntil;
    if (!inTime || claim.epoch != row->epoch || claim.worker != row->worker) {
        m_attempts->end(row, TaskReport::State::Refused, "the hold does not stand any more", false);
        return;
    }
    row->phase = Phase::Starting;
    worker->exchangeRequested = true;
    LOG(INFO) << "attempt_starting task=" << row->task << " attempt=" << row->attempt << " worker=" << row->worker
              << " epoch=" << row->epoch;
}

bool ReservationSystem::control(const ControlRequest &request)
{
    bool complete = true;
    for (const ControlRequest::Item &item : request.items) {
        WorkerRow *worker = m_context->tables.findWorker(item.worker);
        if (worker == nullptr || !m_context->mayAct(*worker)) {
            complete = false;
            continue;
        }
        controlAttempt(worker, item);
    }
    return complete;
}

void ReservationSystem::controlAttempt(WorkerRow *worker, const ControlRequest::Item &item)
{
    AttemptRow *row = m_context->tables.findAttempt(item.task, item.attempt);
    if (row == nullptr) {
        m_attempts->endUnknown(*worker, item.task, item.attempt, 0);
        return;
    }
    const bool neverSent =
        row->phase == Phase::Held || (row->phase == Phase::Starting && row->startBefore.count() == 0);
    if (neverSent) {
        m_attempts->end(row, TaskReport::State::Refused, "cancelled before the start", false);
        return;
    }
    row->checkpointRequested = row->checkpointRequested || item.checkpoint;
    row->stopRequested = row->stopRequested || !item.checkpoint;
    worker->exchangeRequested = true;
}

} // namespace fescueledge
