#include "dispatchsystem_pvt.h"

#include "observationsystem_pvt.h"
#include "ordersystem_pvt.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace fescueledge::workflow {

namespace {

/// A job that ends later than this many times its objective earns nothing, by the users' contract.
constexpr int uselessAfterObjectives = 3;
/// Serving tasks use about this share of the processor time they declare; fillers may have the rest.
constexpr double servingLoad = 0.6;
/// Added to the cost of a worker away from a step's data: more than any difference in load.
constexpr double remoteDataCost = 2;
/// Added to the cost of a worker on another rack than the rest of a rack-sensitive step.
constexpr double otherRackCost = 1;

/// Processor time that fillers could get on @p worker, in thousandths of a core, by the declared sizes.
double leftover(const Worker &worker)
{
    double busy = static_cast<double>(worker.fillerMilliCores);
    for (const Task *task : worker.tasks) {
        const StepSpec &spec = *task->step->spec;
        if (!spec.filler) {
            busy += static_cast<double>(spec.perTask.milliCores) * (spec.tailTarget.count() > 0 ? servingLoad : 1);
        }
    }
    return static_cast<double>(worker.entry.capacity.milliCores) - busy;
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
    const Duration allowance = job.objective - job.acceptedAt;
    if (step.spec->longRunning) {
        rank.group = 0;
    } else if (now <= job.objective) {
        rank.group = 1;
    } else if (now <= job.acceptedAt + uselessAfterObjectives * allowance) {
        rank.group = 2;
    } else {
        rank.group = 3;
    }
    return rank;
}

bool DispatchSystem::mayStart(const Step &step, bool earlierRunsKnown) const
{
    const Job &job = *step.occurrence->job;
    return !job.ended() && (earlierRunsKnown || !job.beforeTerm);
}

void DispatchSystem::run()
{
    Context &context = *m_context;
    if (!context.mayOrder()) {
        return;
    }
    context.jobs.prune();
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
    for (const std::pair<Rank, Step *> &entry : ranked) {
        if (entry.second->spec->gang) {
            startGang(entry.second);
        } else {
            startStep(entry.second);
        }
    }
}

void DispatchSystem::startStep(Step *step)
{
    for (Task &task : step->tasks) {
        if (task.phase != TaskPhase::Idle) {
            continue;
        }
        Worker *worker = choose(*step);
        if (worker == nullptr) {
            return;
        }
        m_orders->start(&task, worker);
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
        places.emplace_back(&task, worker);
    }
    for (const std::pair<Task *, Worker *> &place : places) {
        FleetTable::release(place.first);
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

double DispatchSystem::cost(const Worker &worker, const Step &step) const
{
    const StepSpec &spec = *step.spec;
    const double capacity = static_cast<double>(std::max<std::int64_t>(worker.entry.capacity.milliCores, 1));
    double cost = 0;
    if (spec.filler) {
        cost = 1 - (leftover(worker) - static_cast<double>(spec.perTask.milliCores)) / capacity;
    } else {
        cost = static_cast<double>(worker.used.milliCores + spec.perTask.milliCores) / capacity;
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
    for (const auto &[id, worker] : m_context->fleet.all()) {
        if (!usable(*worker, step)) {
            continue;
        }
        if (step.spec->filler && leftover(*worker) < static_cast<double>(step.spec->perTask.milliCores)) {
            continue;
        }
        const double c = cost(*worker, step);
        if (c < bestCost) {
            bestCost = c;
            best = worker.get();
        }
    }
    return best;
}

} // namespace fescueledge::workflow
