#include "dispatchsystem_pvt.h"

#include "observationsystem_pvt.h"
#include "ordersystem_pvt.h"
#include "placement_pvt.h"

#include <algorithm>
#include <tuple>

namespace fescueledge::workflow {

namespace {

/// A job that ends later than this many times its objective earns nothing, by the users' contract.
constexpr int uselessAfterObjectives = 3;
/// Among jobs of one urgency, a job goes behind others by the time that this share of the fleet takes for what is left
/// of it: small jobs pass large ones in a burst, and large ones still get their turn.
constexpr double handicapShare = 0.003;

/// How long a small part of the fleet would take for what is left of @p job, by its declared sizes and estimates.
Duration sizeHandicap(const Job &job, double fleetMilliCores)
{
    double work = 0;
    for (const auto &[number, occurrence] : job.open) {
        for (const Step &step : occurrence->steps) {
            work += static_cast<double>(step.left) * static_cast<double>(step.spec->perTask.milliCores)
                * static_cast<double>(step.spec->estimate.count());
        }
    }
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(work / std::max(1.0, fleetMilliCores * handicapShare)));
}

} // namespace

DispatchSystem::DispatchSystem(std::shared_ptr<Context> context, OrderSystem *orders, Placement *placement,
                               const ObservationSystem *observations)
    : m_context(std::move(context))
    , m_orders(orders)
    , m_placement(placement)
    , m_observations(observations)
{
}

bool DispatchSystem::Rank::operator<(const Rank &other) const
{
    return std::tie(group, priority, objective) < std::tie(other.group, other.priority, other.objective);
}

DispatchSystem::Rank DispatchSystem::rankOf(const Step &step, TimePoint now) const
{
    const Job &job = *step.occurrence->job;
    Rank rank;
    rank.priority = job.policy.priority;
    rank.objective = job.objective;
    rank.objective += sizeHandicap(job, m_fleetMilliCores);
    const Duration allowance = job.objective - job.acceptedAt;
    if (step.spec->longRunning) {
        rank.group = 1;
    } else if (now <= job.objective) {
        rank.group = job.policy.priority == 0 ? 0 : 2;
    } else if (now <= job.acceptedAt + uselessAfterObjectives * allowance) {
        rank.group = 3;
    } else {
        rank.group = 4;
    }
    return rank;
}

bool DispatchSystem::mayStart(const Step &step, bool earlierRunsKnown)
{
    const Job &job = *step.occurrence->job;
    return !job.ended() && (earlierRunsKnown || !job.beforeTerm);
}

bool DispatchSystem::run(std::uint64_t portion)
{
    Context &context = *m_context;
    if (!context.mayOrder()) {
        return false;
    }
    context.jobs.prune();
    m_fleetMilliCores = 0;
    for (const auto &[id, worker] : context.fleet.all()) {
        m_fleetMilliCores += static_cast<double>(worker->entry.capacity.milliCores);
    }
    const TimePoint now = context.now();
    const bool earlierRunsKnown = m_observations->knowsEarlierRuns();
    std::vector<std::pair<Rank, Step *>> ranked;
    for (Step *step : context.jobs.openSteps()) {
        if (step->waitsSince == TimePoint{}) {
            step->waitsSince = now;
        }
        Job *job = step->occurrence->job;
        if (job->placedTasks > 0 || !mayStart(*step, earlierRunsKnown)) {
            job->idleSince = TimePoint{};
        } else if (job->idleSince == TimePoint{}) {
            job->idleSince = now;
        }
        if (mayStart(*step, earlierRunsKnown)) {
            ranked.emplace_back(rankOf(*step, now), step);
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto &a, const auto &b) {
        return a.first < b.first;
    });
    m_noPlace.clear();
    m_placement->refresh();
    const std::uint64_t limit = m_orders->startsSent + portion;
    for (const std::pair<Rank, Step *> &entry : ranked) {
        if (m_orders->startsSent >= limit) {
            return true;
        }
        if (entry.second->spec->gang) {
            startGang(entry.second);
        } else {
            startStep(entry.second, limit);
        }
    }
    return false;
}

DispatchSystem::Shape DispatchSystem::shapeOf(const Step &step)
{
    return Shape{step.occurrence->job->policy.service, step.spec->requiredLabel, step.spec->image, step.spec->filler};
}

bool DispatchSystem::knownNotToFit(const Step &step) const
{
    const auto it = m_noPlace.find(shapeOf(step));
    if (it == m_noPlace.end()) {
        return false;
    }
    const Resources &need = step.spec->perTask;
    return std::any_of(it->second.begin(), it->second.end(), [&need](const Resources &failed) {
        return failed.fitsIn(need); // It needs at least as much of everything.
    });
}

void DispatchSystem::startStep(Step *step, std::uint64_t limit)
{
    if (knownNotToFit(*step) && !m_placement->overdue(*step->occurrence->job)) {
        return;
    }
    for (Task &task : step->tasks) {
        if (task.phase != TaskPhase::Idle) {
            continue;
        }
        if (m_orders->startsSent >= limit) {
            return;
        }
        const Place place = m_placement->choose(*step);
        if (place.worker == nullptr) {
            if (step->spec->maxPerWorker == 0) {
                m_noPlace[shapeOf(*step)].push_back(step->spec->perTask);
            }
            return;
        }
        m_orders->start(&task, place.worker, place.pace);
        m_placement->changed(place.worker);
        step->waitsSince = m_context->now();
    }
}

void DispatchSystem::startGang(Step *step)
{
    // Members wait for each other only for a moment: all start now, under one run number, or none.
    if (step->idle != step->left) {
        return;
    }
    std::vector<std::pair<Task *, Place>> places;
    RunNumber run = 0;
    std::string checkpoint;
    for (Task &task : step->tasks) {
        run = std::max(run, task.run);
        checkpoint = task.checkpoint.empty() ? checkpoint : task.checkpoint;
    }
    for (Task &task : step->tasks) {
        if (task.phase != TaskPhase::Idle) {
            continue;
        }
        const Place place = m_placement->choose(*step);
        if (place.worker == nullptr) {
            break;
        }
        FleetTable::place(&task, place.worker);
        m_placement->changed(place.worker);
        places.emplace_back(&task, place);
    }
    for (const std::pair<Task *, Place> &place : places) {
        FleetTable::release(place.first);
        m_placement->changed(place.second.worker);
    }
    if (places.size() < step->left) {
        return;
    }
    for (const std::pair<Task *, Place> &place : places) {
        place.first->run = run;
        place.first->checkpoint = checkpoint;
        m_orders->start(place.first, place.second.worker, place.second.pace);
        step->waitsSince = m_context->now();
    }
}

} // namespace fescueledge::workflow
