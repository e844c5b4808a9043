#include "dispatchsystem_pvt.h"

#include "crashledger_pvt.h"
#include "observationsystem_pvt.h"
#include "ordersystem_pvt.h"
#include "placement_pvt.h"

#include <algorithm>
#include <tuple>

namespace fescueledge::workflow {

namespace {

/// Among jobs of equal urgency, the objective of a job is put back by the time that this share of the fleet needs for
/// its remaining work. In a burst small jobs pass large ones, and large ones are not starved.
constexpr double sizePenaltyShare = 0.003;
/// A job with nothing at work, or a long-running task, is starved after this time: users accept three seconds.
constexpr Milliseconds starvationTimeout{1500};
/// Of this many starts one is for starved tasks ...
constexpr std::uint64_t startsPerStarvedStart = 4;
/// ... and this many may be kept back for them.
constexpr std::uint64_t maxStarvedStarts = 32;

/// How long sizePenaltyShare of the fleet would need for the remaining work of @p job, by its declared sizes and
/// estimates.
Duration sizePenalty(const Job &job, double fleetMilliCores)
{
    double work = 0;
    for (const auto &[number, occurrence] : job.open) {
        for (const Step &step : occurrence->steps) {
            work += static_cast<double>(step.tasksLeft) * static_cast<double>(step.spec->perTask.milliCores)
                * static_cast<double>(step.spec->estimate.count());
        }
    }
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(work / std::max(1.0, fleetMilliCores * sizePenaltyShare)));
}

/// A suspect that has waited this long for a worker to be isolated shares one with whatever is new there: less than the
/// time for which users accept that nothing of a job runs.
constexpr Milliseconds isolationWaitLimit{1500};

} // namespace

DispatchSystem::DispatchSystem(std::shared_ptr<Context> context, OrderSystem *orders, Placement *placement,
                               const ObservationSystem *observations, CrashLedger *crashes)
    : m_context(std::move(context))
    , m_orders(orders)
    , m_placement(placement)
    , m_observations(observations)
    , m_crashes(crashes)
    , m_accounts(m_context, observations)
    , m_reservations(m_context, placement, &m_accounts)
{
}

bool DispatchSystem::Rank::operator<(const Rank &other) const
{
    return std::tie(group, isExcess, share, priority, objective)
        < std::tie(other.group, other.isExcess, other.share, other.priority, other.objective);
}

DispatchSystem::Rank DispatchSystem::rankOf(const Step &step, TimePoint now) const
{
    const Job &job = *step.occurrence->job;
    Rank rank;
    rank.isExcess = job.isExcess;
    rank.share = job.isExcess ? m_accounts.shareOf(job) : 0;
    rank.priority = job.policy.priority;
    rank.objective = job.objective;
    rank.objective += sizePenalty(job, m_fleetMilliCores);
    if (Reservations::waitsTooLong(step, now)) {
        rank.group = -1;
    } else if (step.spec->longRunning) {
        rank.group = 1;
    } else if (now <= job.objective) {
        rank.group = job.policy.priority == 0 ? 0 : 2;
    } else if (!job.isUseless(now)) {
        rank.group = 3;
    } else {
        rank.group = 4;
    }
    if (job.isExcess && !step.spec->longRunning) {
        rank.group = std::max(rank.group, 3); // Even late work of accounts that keep to their rates goes first.
    }
    return rank;
}

bool DispatchSystem::mayStart(const Step &step, bool earlierRunsKnown)
{
    const Job &job = *step.occurrence->job;
    return !job.ended() && (earlierRunsKnown || !job.fromEarlierTerm);
}

bool DispatchSystem::run(std::uint64_t maxStarts)
{
    Context &context = *m_context;
    if (!context.maySendOrders()) {
        return false;
    }
    context.jobs.pruneOpenSteps();
    m_fleetMilliCores = static_cast<double>(context.fleet.candidates().milliCores());
    const TimePoint now = context.now();
    m_accounts.update();
    const bool earlierRunsKnown = m_observations->knowsEarlierRuns();
    std::vector<std::pair<Rank, Step *>> ranked;
    for (Step *step : context.jobs.openSteps()) {
        if (step->waitingSince == TimePoint{}) {
            step->waitingSince = now;
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
    m_placement->dropStale();
    const std::uint64_t limit = m_orders->startsSent + std::min(maxStarts, m_orders->window.room());
    holdWorkers(ranked);
    startStarved(ranked, limit);
    m_startsRanOut = startInOrder(ranked, limit);
    return m_startsRanOut;
}

bool DispatchSystem::startInOrder(const std::vector<std::pair<Rank, Step *>> &ranked, std::uint64_t limit)
{
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
    return m_orders->startsSent >= limit;
}

void DispatchSystem::holdWorkers(const std::vector<std::pair<Rank, Step *>> &ranked)
{
    if (!m_reservations.isDue()) {
        return;
    }
    std::vector<Step *> waiting;
    waiting.reserve(ranked.size());
    for (const std::pair<Rank, Step *> &entry : ranked) {
        if (m_accounts.mayStart(*entry.second, 1)) { // Room that its account may not use is left to others.
            waiting.push_back(entry.second);
        }
    }
    m_reservations.update(waiting);
}

std::optional<TimePoint> DispatchSystem::starvedSince(const Step &step) const
{
    const Job &job = *step.occurrence->job;
    const TimePoint since = step.spec->longRunning ? step.waitingSince : job.idleSince;
    const bool waits = since != TimePoint{} && (step.spec->longRunning || job.placedTasks == 0);
    return waits && m_context->now() - since >= starvationTimeout ? std::optional<TimePoint>(since) : std::nullopt;
}

void DispatchSystem::startStarved(const std::vector<std::pair<Rank, Step *>> &ranked, std::uint64_t limit)
{
    m_startsForStarved = std::min(m_startsForStarved + (m_orders->startsSent - m_startsCounted),
                                  maxStarvedStarts * startsPerStarvedStart);
    m_startsCounted = m_orders->startsSent;
    if (!m_startsRanOut) {
        return; // What waits has no room, and is no worse off for its rank than for a start.
    }
    std::vector<std::pair<TimePoint, Step *>> starved;
    for (const std::pair<Rank, Step *> &entry : ranked) {
        const std::optional<TimePoint> since = starvedSince(*entry.second);
        if (since) {
            starved.emplace_back(*since, entry.second);
        }
    }
    std::stable_sort(starved.begin(), starved.end(), [](const auto &a, const auto &b) {
        return a.first < b.first;
    });
    const std::uint64_t end = std::min(limit, m_orders->startsSent + m_startsForStarved / startsPerStarvedStart);
    for (const std::pair<TimePoint, Step *> &entry : starved) {
        Step *step = entry.second;
        if (m_orders->startsSent >= end) {
            break;
        }
        if (!starvedSince(*step)) {
            continue; // Another step of its job has just got a start.
        }
        if (step->spec->gang) {
            startGang(step);
        } else {
            startStep(step, step->spec->longRunning ? end : m_orders->startsSent + 1);
        }
    }
    const std::uint64_t used = (m_orders->startsSent - m_startsCounted) * startsPerStarvedStart;
    m_startsForStarved -= std::min(m_startsForStarved, used);
    m_startsCounted = m_orders->startsSent;
}

Worker *DispatchSystem::isolatedWorker(const Step &step)
{
    const Job &job = *step.occurrence->job;
    const TimePoint now = m_context->now();
    Worker *worker = m_crashes->isolatedFor(job);
    if (worker == nullptr) {
        const bool waitedTooLong = now - step.waitingSince >= isolationWaitLimit;
        if (!m_crashes->mayIsolate() && !waitedTooLong) {
            return nullptr;
        }
        worker = m_placement->leastLossWorker(step, waitedTooLong);
        if (worker == nullptr) {
            return nullptr;
        }
        m_crashes->isolate(worker, job);
    }
    // A start without an answer counts against the task there, so the worker has to answer first. One that is being
    // observed will do so soon.
    if (worker->lastAnswerAt < worker->isolatedAt) {
        if (!worker->observationPending) {
            m_orders->doubtLife(worker, "isolated");
        }
        return nullptr;
    }
    return m_placement->takes(*worker, step) ? worker : nullptr;
}

bool DispatchSystem::isAwaited(const Task &task) const
{
    return m_context->fleet.awaitsRuns() && m_context->fleet.isAwaited(keyOf(task));
}

void DispatchSystem::startSuspects(Step *step, std::uint64_t limit)
{
    for (Task &task : step->tasks) {
        if (task.phase != TaskPhase::Idle || !task.isSuspect() || isAwaited(task)
            || !CrashLedger::mayStartAgain(task, m_context->now())) {
            continue;
        }
        if (m_orders->startsSent >= limit || !m_accounts.mayStart(*step, 1)) {
            return;
        }
        Worker *worker = isolatedWorker(*step);
        if (worker == nullptr) {
            return;
        }
        const bool fits = m_placement->verdict(*worker, *step) == PlaceVerdict::Fits;
        startOn(&task, Place{worker, fits ? fullPace : minPace, !fits});
        step->waitingSince = m_context->now();
    }
}

void DispatchSystem::startStep(Step *step, std::uint64_t limit)
{
    if (step->occurrence->job->suspects > 0) {
        startSuspects(step, limit);
    }
    for (Task &task : step->tasks) {
        if (task.phase != TaskPhase::Idle || isAwaited(task) || task.isSuspect()
            || CrashLedger::waitsForSuspects(task)) {
            continue;
        }
        if (m_orders->startsSent >= limit || !m_accounts.mayStart(*step, 1)) {
            return;
        }
        const bool overdue = m_placement->overdue(*step->occurrence->job);
        Worker *reserved = m_reservations.reservedWorker(*step);
        const Place place = reserved != nullptr ? Place{reserved} : m_placement->choose(*step, overdue);
        if (place.worker == nullptr) {
            step->noPlaceAt = m_context->now();
            return;
        }
        startOn(&task, place);
        step->waitingSince = m_context->now();
    }
}

void DispatchSystem::startOn(Task *task, const Place &place)
{
    if (place.overcommitted) {
        place.worker->overcommittedAt = m_context->now();
    }
    m_reservations.noteStart(place.worker, *task->step);
    m_orders->start(task, place.worker, place.pace);
    m_placement->invalidateHeadroom(place.worker);
}

void DispatchSystem::startGang(Step *step)
{
    // The tasks of a gang wait for each other only briefly, so either all start now, under one run number, or none.
    if (step->idleTasks != step->tasksLeft || !m_accounts.mayStart(*step, step->idleTasks)) {
        return;
    }
    if (std::any_of(step->tasks.begin(), step->tasks.end(), [this](const Task &task) {
            return task.phase == TaskPhase::Idle
                && (isAwaited(task) || !CrashLedger::mayStartAgain(task, m_context->now()));
        })) {
        return;
    }
    std::vector<std::pair<Task *, Place>> places;
    const bool overdue = m_placement->overdue(*step->occurrence->job); // A job with a placed task is never overdue.
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
        const Place place = m_placement->choose(*step, overdue);
        if (place.worker == nullptr) {
            break;
        }
        FleetTable::place(&task, place.worker);
        m_placement->invalidateHeadroom(place.worker);
        places.emplace_back(&task, place);
    }
    for (const std::pair<Task *, Place> &place : places) {
        FleetTable::release(place.first);
        m_placement->invalidateHeadroom(place.second.worker);
    }
    if (places.size() < step->tasksLeft) {
        return;
    }
    for (const std::pair<Task *, Place> &place : places) {
        place.first->run = run;
        place.first->checkpoint = checkpoint;
        startOn(place.first, place.second);
        step->waitingSince = m_context->now();
    }
}

} // namespace fescueledge::workflow
