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

/// Time for which freed capacity stays reserved for the latency-critical attempt that it was freed for.
constexpr Milliseconds earmarkTimeout{15000};

bool isPreemptible(const AttemptRow &row)
{
    return row.phase == AttemptRow::Phase::Running && row.isBatch() && !row.checkpointRequested && !row.stopRequested;
}

} // namespace

PreemptionSystem::PreemptionSystem(WorkerContext *context, const PlacementSystem *placement)
    : m_context(context)
    , m_placement(placement)
{
}

bool PreemptionSystem::preemptFor(const TaskOffer &offer)
{
    const TimePoint now = m_context->loop->now();
    WorkerRow *best = nullptr;
    std::vector<AttemptRow *> bestVictims;
    std::map<WorkerId, WorkerRow> &workers = m_context->tables.workers;
    for (auto it = workers.begin(); it != workers.end(); ++it) {
        WorkerRow &worker = it->second;
        const bool earmarked = now < worker.earmarkedUntil;
        if (earmarked && worker.earmarkedFor == offer.task) {
            return true;
        }
        if (earmarked || m_placement->exclusionReason(worker, offer) != ExclusionReason::None) {
            continue;
        }
        std::vector<AttemptRow *> victims = victimsOn(worker, offer);
        if (!victims.empty() && (best == nullptr || victims.size() < bestVictims.size())) {
            best = &worker;
            bestVictims = std::move(victims);
        }
    }
    if (best == nullptr || !consumeAllowance(bestVictims.size())) {
        return false;
    }
    best->earmarkedFor = offer.task;
    best->earmarkedUntil = now + earmarkTimeout;
    best->exchangeRequested = true;
    for (AttemptRow *victim : bestVictims) {
        victim->checkpointRequested = true;
        LOG(INFO) << "attempt_preempted task=" << victim->task << " worker=" << victim->worker << " for=" << offer.task;
    }
    return true;
}

std::vector<AttemptRow *> PreemptionSystem::victimsOn(const WorkerRow &worker, const TaskOffer &offer) const
{
    const Resources need = m_placement->allocationOn(worker, offer);
    Resources available = m_context->tables.available(worker, offer.taskClass, *m_context->authority->control());
    std::vector<AttemptRow *> batch;
    for (AttemptRow *row : m_context->tables.attemptsOn(worker.vm.name)) {
        if (isPreemptible(*row)) {
            batch.push_back(row);
        }
    }
    // The attempts that started last lose the least work.
    std::stable_sort(batch.begin(), batch.end(), [](const AttemptRow *a, const AttemptRow *b) {
        return a->startedAt > b->startedAt;
    });
    std::vector<AttemptRow *> victims;
    const std::size_t maxVictims = static_cast<std::size_t>(m_context->policy.preemptionVictims);
    for (AttemptRow *row : batch) {
        if (need.fitsIn(available) || victims.size() >= maxVictims) {
            break;
        }
        available += row->allocation;
        victims.push_back(row);
    }
    return need.fitsIn(available) ? victims : std::vector<AttemptRow *>();
}

bool PreemptionSystem::consumeAllowance(std::size_t victims)
{
    const TimePoint now = m_context->loop->now();
    const double rate = m_context->policy.preemptionsPerSecond;
    const double burst = std::max<double>(m_context->policy.preemptionVictims, rate);
    const double passed = std::chrono::duration<double>(now - m_allowanceUpdatedAt).count();
    m_allowance = std::min(burst, m_allowance + passed * rate);
    m_allowanceUpdatedAt = now;
    if (m_allowance < static_cast<double>(victims)) {
        return false;
    }
    m_allowance -= static_cast<double>(victims);
    return true;
}

} // namespace fescueledge
