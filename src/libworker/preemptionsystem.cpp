#include "preemptionsystem_pvt.h"

#include "fescueledge/authority.h"
#include "fescueledge/controlstate.h"
#include "fescueledge/loop.h"
#include "placementsystem_pvt.h"
#include "workercontext_pvt.h"

#include <algorithm>
#include <chrono>
#include <glog/logging.h>

namespace fescueledge {

namespace {

/// Time for which room is kept for the latency-critical attempt that it was made for.
constexpr Milliseconds earmarkTime{15000};

bool isVictim(const AttemptRow &row)
{
    return row.phase == AttemptRow::Phase::Running && row.isBatch() && !row.checkpointWanted && !row.stopWanted;
}

} // namespace

PreemptionSystem::PreemptionSystem(WorkerContext *context, const PlacementSystem *placement)
    : m_context(context)
    , m_placement(placement)
{
}

bool PreemptionSystem::makeRoom(const TaskOffer &offer)
{
    const TimePoint now = m_context->loop->now();
    WorkerRow *best = nullptr;
    std::vector<AttemptRow *> fewest;
    std::map<WorkerId, WorkerRow> &workers = m_context->tables.workers;
    for (auto it = workers.begin(); it != workers.end(); ++it) {
        WorkerRow &worker = it->second;
        const bool earmarked = now < worker.earmarkedUntil;
        if (earmarked && worker.earmarkedFor == offer.task) {
            return true;
        }
        if (earmarked || m_placement->ruledOut(worker, offer) != RuledOut::No) {
            continue;
        }
        std::vector<AttemptRow *> victims = victimsOn(worker, offer);
        if (!victims.empty() && (best == nullptr || victims.size() < fewest.size())) {
            best = &worker;
            fewest = std::move(victims);
        }
    }
    if (best == nullptr || !takeAllowance(fewest.size())) {
        return false;
    }
    best->earmarkedFor = offer.task;
    best->earmarkedUntil = now + earmarkTime;
    best->urgent = true;
    for (AttemptRow *victim : fewest) {
        victim->checkpointWanted = true;
        LOG(INFO) << "attempt_preempted task=" << victim->task << " worker=" << victim->worker << " for=" << offer.task;
    }
    return true;
}

std::vector<AttemptRow *> PreemptionSystem::victimsOn(const WorkerRow &worker, const TaskOffer &offer) const
{
    const Resources need = m_placement->chargeOn(worker, offer);
    Resources room = m_context->tables.room(worker, offer.taskClass, *m_context->authority->control());
    std::vector<AttemptRow *> batch;
    for (AttemptRow *row : m_context->tables.attemptsOn(worker.vm.name)) {
        if (isVictim(*row)) {
            batch.push_back(row);
        }
    }
    // The youngest lose the least work.
    std::stable_sort(batch.begin(), batch.end(), [](const AttemptRow *a, const AttemptRow *b) {
        return a->startedAt > b->startedAt;
    });
    std::vector<AttemptRow *> victims;
    const std::size_t most = static_cast<std::size_t>(m_context->policy.preemptionVictims);
    for (AttemptRow *row : batch) {
        if (need.fitsIn(room) || victims.size() >= most) {
            break;
        }
        room += row->charge;
        victims.push_back(row);
    }
    return need.fitsIn(room) ? victims : std::vector<AttemptRow *>();
}

bool PreemptionSystem::takeAllowance(std::size_t victims)
{
    const TimePoint now = m_context->loop->now();
    const double rate = m_context->policy.preemptionsPerSecond;
    const double burst = std::max<double>(m_context->policy.preemptionVictims, rate);
    const double passed = std::chrono::duration<double>(now - m_allowanceAt).count();
    m_allowance = std::min(burst, m_allowance + passed * rate);
    m_allowanceAt = now;
    if (m_allowance < static_cast<double>(victims)) {
        return false;
    }
    m_allowance -= static_cast<double>(victims);
    return true;
}

} // namespace fescueledge
