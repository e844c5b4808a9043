#include "dispatchsystem_pvt.h"

#include "headroom_pvt.h"
#include "observationsystem_pvt.h"
#include "ordersystem_pvt.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace fescueledge::workflow {

namespace {

/// A job that ends later than this many times its objective earns nothing, by the users' contract.
constexpr int uselessAfterObjectives = 3;
/// Among jobs of one urgency, a job goes behind others by the time that this share of the fleet takes for what is left
/// of it: small jobs pass large ones in a burst, and large ones still get their turn.
constexpr double handicapShare = 0.003;
/// Added to the cost of a worker away from a step's data: more than any difference in load.
constexpr double remoteDataCost = 2;
/// Added to the cost of a worker on another rack than the rest of a rack-sensitive step.
constexpr double otherRackCost = 1;
/// Added to the cost of a worker for each other image that serves there: the fewer images share a worker, the more
/// fillers fit beside them.
constexpr double otherImageCost = 2;
/// A filler is placed only where each serving task would keep this headroom (1 is just enough) for so long.
constexpr double leastHeadroomLeft = 1.1;
constexpr Milliseconds placementOutlook{700};
/// A filler that takes much has to leave more: what it takes shows half a second later, and so does a misjudgement.
constexpr double marginForTaken = 0.4;
/// Headroom is worked out anew after so long: gauges come less often, and it moves by a few hundredths meanwhile.
constexpr Milliseconds headroomPeriod{100};
/// Fillers go where they take the least headroom; idle processor time decides among workers that are nearly alike.
constexpr double idleWeight = 0.3;

/// Processor time that fillers could get on @p worker, in thousandths of a core.
double leftover(const Worker &worker)
{
    return static_cast<double>(worker.entry.capacity.milliCores) - worker.busyMilliCores;
}

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

bool onOtherRack(const Worker &worker, const Step &step)
{
    return std::any_of(step.tasks.begin(), step.tasks.end(), [&worker](const Task &task) {
        return task.worker != nullptr && task.worker->entry.rack != worker.entry.rack;
    });
}

} // namespace

DispatchSystem::DispatchSystem(std::shared_ptr<Context> context, OrderSystem *orders,
                               const ObservationSystem *observations)
    : m_context(std::move(context))
    , m_orders(orders)
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

bool DispatchSystem::mayStart(const Step &step, bool earlierRunsKnown) const
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
        if (mayStart(*step, earlierRunsKnown)) {
            ranked.emplace_back(rankOf(*step, now), step);
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto &a, const auto &b) {
        return a.first < b.first;
    });
    m_noPlace.clear();
    refreshHeadroom();
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
    if (knownNotToFit(*step)) {
        return;
    }
    for (Task &task : step->tasks) {
        if (task.phase != TaskPhase::Idle) {
            continue;
        }
        if (m_orders->startsSent >= limit) {
            return;
        }
        Worker *worker = choose(*step);
        if (worker == nullptr) {
            if (step->spec->maxPerWorker == 0) {
                m_noPlace[shapeOf(*step)].push_back(step->spec->perTask);
            }
            return;
        }
        m_orders->start(&task, worker);
        m_headroom.erase(worker);
    }
}

void DispatchSystem::startGang(Step *step)
{
    // Members wait for each other only for a moment: all start now, under one run number, or none.
    if (step->idle != step->left) {
        return;
    }
    std::vector<std::pair<Task *, Worker *>> places;
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
        Worker *worker = choose(*step);
        if (worker == nullptr) {
            break;
        }
        FleetTable::place(&task, worker);
        m_headroom.erase(worker);
        places.emplace_back(&task, worker);
    }
    for (const std::pair<Task *, Worker *> &place : places) {
        FleetTable::release(place.first);
        m_headroom.erase(place.second);
    }
    if (places.size() < step->left) {
        return;
    }
    for (const std::pair<Task *, Worker *> &place : places) {
        place.first->run = run;
        place.first->checkpoint = checkpoint;
        m_orders->start(place.first, place.second);
    }
}

bool DispatchSystem::usable(const Worker &worker, const Step &step) const
{
    const Context &context = *m_context;
    const StepSpec &spec = *step.spec;
    const TimePoint now = context.now();
    if (!worker.listed || worker.entry.draining || worker.contact != WorkerContact::Adopted || !worker.recorded
        || worker.runsRecorded || worker.blockedUntil > now) {
        return false;
    }
    if (worker.entry.service != step.occurrence->job->policy.service
        || context.catalog->evacuated.count(worker.entry.dataCentre) > 0) {
        return false;
    }
    if (!spec.requiredLabel.empty() && worker.entry.labels.count(spec.requiredLabel) == 0) {
        return false;
    }
    if (!FleetTable::hasRoom(worker, spec)) {
        return false;
    }
    return spec.maxPerWorker == 0 || FleetTable::countOf(worker, step) < spec.maxPerWorker;
}

void DispatchSystem::refreshHeadroom()
{
    const TimePoint now = m_context->now();
    if (now >= m_headroomAt + headroomPeriod) {
        m_headroom.clear();
        m_headroomAt = now;
    }
}

const std::vector<StepHeadroom> &DispatchSystem::headroomOn(const Worker &worker) const
{
    const auto it = m_headroom.find(&worker);
    if (it != m_headroom.end()) {
        return it->second;
    }
    return m_headroom
        .emplace(&worker,
                 headroomOf(worker, m_context->interference, worker.fillerLoad, m_context->now(), placementOutlook))
        .first->second;
}

double DispatchSystem::headroomBeside(const Worker &worker, const StepSpec &filler) const
{
    const InterferenceModel &model = m_context->interference;
    const double share = shareOf(worker, filler.perTask.milliCores);
    double least = std::numeric_limits<double>::max();
    for (const StepHeadroom &serving : headroomOn(worker)) {
        least = std::min(least, serving.leastBeside(model.taken(serving.image, filler.image, share)));
    }
    return least;
}

double DispatchSystem::headroomTaken(const Worker &worker, const StepSpec &filler) const
{
    const InterferenceModel &model = m_context->interference;
    const double share = shareOf(worker, filler.perTask.milliCores);
    double most = 0;
    for (const auto &[image, tasks] : worker.servingImages) {
        most = std::max(most, model.taken(image, filler.image, share).expected);
    }
    return most;
}

bool DispatchSystem::harmless(const Worker &worker, const StepSpec &filler) const
{
    return headroomBeside(worker, filler) >= leastHeadroomLeft + marginForTaken * headroomTaken(worker, filler);
}

double DispatchSystem::servingCost(const Worker &worker, const StepSpec &spec) const
{
    const bool same = worker.servingImages.count(spec.image) > 0;
    const std::size_t others = worker.servingImages.size() - (same ? 1 : 0);
    // Serving tasks of one image share workers, and fill them: the other workers stay free for fillers.
    return otherImageCost * static_cast<double>(others) - (same ? otherImageCost : 0)
        - shareOf(worker, worker.used.milliCores)
        + std::min(1.0, m_context->interference.taken(spec.image, worker.fillerLoad).expected);
}

bool DispatchSystem::hasPlaceElsewhere(const Task &task)
{
    refreshHeadroom();
    const Step &step = *task.step;
    const std::map<WorkerId, std::unique_ptr<Worker>> &workers = m_context->fleet.all();
    return std::any_of(workers.begin(), workers.end(), [&](const auto &entry) {
        const Worker &worker = *entry.second;
        return &worker != task.worker && usable(worker, step) && harmless(worker, *step.spec)
            && leftover(worker) >= static_cast<double>(step.spec->perTask.milliCores);
    });
}

double DispatchSystem::cost(const Worker &worker, const Step &step) const
{
    const StepSpec &spec = *step.spec;
    double cost = 0;
    if (spec.tailTarget.count() > 0) {
        cost = servingCost(worker, spec);
    } else if (spec.filler) {
        cost = headroomTaken(worker, spec)
            + idleWeight
                * (1 - leftover(worker) / std::max(1.0, static_cast<double>(worker.entry.capacity.milliCores)));
    } else {
        cost = shareOf(worker, worker.used.milliCores);
    }
    if (!spec.dataRack.empty() && worker.entry.rack != spec.dataRack) {
        cost += remoteDataCost;
    }
    if ((spec.rackSensitive || spec.gang) && onOtherRack(worker, step)) {
        cost += otherRackCost;
    }
    return cost;
}

Worker *DispatchSystem::choose(const Step &step) const
{
    Worker *best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    const bool filler = step.spec->filler;
    for (const auto &[id, worker] : m_context->fleet.all()) {
        if (filler && leftover(*worker) < static_cast<double>(step.spec->perTask.milliCores)) {
            continue;
        }
        if (!usable(*worker, step)) {
            continue;
        }
        const double c = cost(*worker, step);
        if (c >= bestCost || (filler && !harmless(*worker, *step.spec))) {
            continue; // What is harmless takes longest to tell: last.
        }
        bestCost = c;
        best = worker.get();
    }
    return best;
}

} // namespace fescueledge::workflow
