#include "placementsystem_pvt.h"

#include "fescueledge/authority.h"
#include "fescueledge/controlstate.h"
#include "fescueledge/loop.h"
#include "quarantinesystem_pvt.h"
#include "workercontext_pvt.h"
#include "workerload_pvt.h"

#include <algorithm>
#include <map>

namespace fescueledge {

namespace {

constexpr std::size_t maxKeptDecisions = 2000;

} // namespace

const char *exclusionReasonName(ExclusionReason exclusionReason)
{
    static const char *const names[] = {
        "no",     "not-acting", "not-adopted", "no-pool",   "other-pool",      "data-centre-out", "leaving",
        "silent", "avoided",    "quarantined", "earmarked", "service-latency", "no-room"};
    return names[static_cast<int>(exclusionReason)];
}

PlacementSystem::PlacementSystem(WorkerContext *context, const QuarantineSystem *quarantine)
    : m_context(context)
    , m_quarantine(quarantine)
    , m_strategy(makePlacementStrategy(context->policy, &context->random))
{
}

PlacementSystem::~PlacementSystem() = default;

WorkerRow *PlacementSystem::choose(const TaskOffer &offer)
{
    PlacementDecision decision;
    decision.task = offer.task;
    decision.attempt = offer.attempt;
    decision.when = m_context->loop->now();
    decision.strategy = m_strategy->name();
    decision.measure = m_strategy->measure();
    std::vector<PlacementCandidate> candidates;
    const std::shared_ptr<const ControlState> control = m_context->authority->control();
    std::map<WorkerId, WorkerRow> &workers = m_context->tables.workers;
    for (auto it = workers.begin(); it != workers.end(); ++it) {
        ExclusionReason reason = exclusionReason(it->second, offer);
        if (reason == ExclusionReason::None) {
            const Resources available = m_context->tables.available(it->second, offer.taskClass, *control);
            if (allocationOn(it->second, offer).fitsIn(available)) {
                candidates.push_back(makeCandidate(&it->second, offer, available));
                continue;
            }
            reason = ExclusionReason::InsufficientCapacity;
        }
        decision.candidates.push_back({it->first, reason, 0});
    }
    WorkerRow *chosen = nullptr;
    if (!candidates.empty()) {
        chosen = candidates[m_strategy->choose(offer, &candidates)].worker;
        decision.chosen = chosen->vm.name;
    }
    for (const PlacementCandidate &it : candidates) {
        decision.candidates.push_back({it.worker->vm.name, ExclusionReason::None, it.cost});
    }
    record(std::move(decision));
    return chosen;
}

void PlacementSystem::record(PlacementDecision decision)
{
    m_decisions.push_back(std::move(decision));
    if (m_decisions.size() > maxKeptDecisions) {
        m_decisions.pop_front();
    }
}

std::string PlacementSystem::lastRefusalReason() const
{
    if (m_decisions.empty()) {
        return "no-worker";
    }
    std::map<ExclusionReason, int> counts;
    for (const PlacementDecision::Candidate &candidate : m_decisions.back().candidates) {
        ++counts[candidate.exclusionReason];
    }
    std::string reason;
    for (auto it = counts.begin(); it != counts.end(); ++it) {
        reason += (reason.empty() ? "" : ", ") + std::string(exclusionReasonName(it->first)) + ": "
            + std::to_string(it->second);
    }
    return reason.empty() ? "no-worker" : reason;
}

ExclusionReason PlacementSystem::ruledOutForAnyOffer(const WorkerRow &worker) const
{
    if (!m_context->mayAct(worker)) {
        return ExclusionReason::NotActing;
    }
    if (worker.isLeaving()) {
        return ExclusionReason::Leaving;
    }
    if (!worker.adopted) {
        return ExclusionReason::NotAdopted;
    }
    if (worker.pool.empty()) {
        return ExclusionReason::NoPool;
    }
    if (m_context->isDataCentreOut(worker)) {
        return ExclusionReason::DataCentreOut;
    }
    if (m_context->isSilent(worker)) {
        return ExclusionReason::Silent;
    }
    return m_quarantine->admits(worker) ? ExclusionReason::None : ExclusionReason::Quarantined;
}

bool PlacementSystem::acceptsNewAttempts(const WorkerRow &worker) const
{
    return ruledOutForAnyOffer(worker) == ExclusionReason::None;
}

ExclusionReason PlacementSystem::exclusionReason(const WorkerRow &worker, const TaskOffer &offer) const
{
    const ExclusionReason general = ruledOutForAnyOffer(worker);
    if (general != ExclusionReason::None) {
        return general;
    }
    if (!offer.pool.empty() && offer.pool != worker.pool) {
        return ExclusionReason::OtherPool;
    }
    if (std::find(offer.avoid.begin(), offer.avoid.end(), worker.vm.name) != offer.avoid.end()) {
        return ExclusionReason::Avoided;
    }
    const bool earmarked = m_context->loop->now() < worker.earmarkedUntil && worker.earmarkedFor != offer.task;
    if (earmarked && offer.taskClass == TaskClass::Batch) {
        return ExclusionReason::Earmarked;
    }
    const bool defended = m_context->policy.interference == "throttle" && offer.taskClass == TaskClass::Batch;
    if (defended && reportedRatio(*m_context, worker) > m_context->policy.admitRatio) {
        return ExclusionReason::ServiceLatency;
    }
    return ExclusionReason::None;
}

Resources PlacementSystem::allocationOn(const WorkerRow &worker, const TaskOffer &offer) const
{
    const bool batch = offer.taskClass == TaskClass::Batch;
    const Resources maxResources = taskCapacity(worker, batch, *m_context->authority->control());
    return m_context->sizes.allocationFor(offer.kind, offer.resources, maxResources);
}

PlacementCandidate PlacementSystem::makeCandidate(WorkerRow *worker, const TaskOffer &offer,
                                                  const Resources &available) const
{
    PlacementCandidate candidate;
    candidate.worker = worker;
    candidate.available = available;
    const double totalMilliCores = static_cast<double>(std::max<std::int64_t>(1, worker->vm.capacity.milliCores));
    const Resources expected = m_context->sizes.expected(offer.kind, offer.resources);
    const double added =
        static_cast<double>(std::min(expected.milliCores, offer.resources.milliCores)) / totalMilliCores;
    candidate.reportedLoad = static_cast<double>(worker->used.milliCores) / totalMilliCores;
    InterferenceExposure exposure = workerExposure(*m_context, *worker);
    candidate.expectedLoad = added;
    for (auto it = exposure.begin(); it != exposure.end(); ++it) {
        candidate.expectedLoad += it->second;
    }
    const double reported = reportedRatio(*m_context, *worker);
    const Pool *pool = m_context->authority->control()->findPool(worker->pool);
    if (pool != nullptr && pool->targetP99.count() > 0) {
        exposure[offer.kind] += added;
        const double after = reported + added * m_context->interference.slope(worker->pool, offer.kind);
        candidate.predictedRatio = std::max(after, m_context->interference.predict(worker->pool, exposure));
    }
    return candidate;
}

std::vector<PlacementDecision> PlacementSystem::explain(const TaskId &task) const
{
    std::vector<PlacementDecision> found;
    for (const PlacementDecision &decision : m_decisions) {
        if (decision.task == task) {
            found.push_back(decision);
        }
    }
    return found;
}

} // namespace fescueledge
