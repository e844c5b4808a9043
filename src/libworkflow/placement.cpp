#include "placement_pvt.h"

#include <algorithm>
#include <array>
#include <limits>

namespace fescueledge::workflow {

namespace {

/// Added to the cost of a worker away from a step's data: more than any difference in load.
constexpr double remoteDataCost = 2;
/// Added to the cost of a worker on another rack than the rest of a rack-sensitive step.
constexpr double otherRackCost = 1;
/// Added to the cost of a worker for each other image that serves there: the fewer images share a worker, the more
/// fillers fit beside them.
constexpr double otherImageCost = 2;
/// A filler is placed only where each serving task would keep this headroom (1 is just enough) throughout
/// placementWindow.
constexpr double minHeadroomLeft = 1.1;
constexpr Milliseconds placementWindow{700};
/// A filler that takes more headroom has to leave more, by this share of what it takes: its effect, and an error of the
/// estimate, only show half a second later.
constexpr double takenHeadroomMargin = 0.4;
/// Cached headroom is recomputed after this time: gauges arrive less often, and headroom changes by a few hundredths in
/// between.
constexpr Milliseconds headroomCacheTimeout{100};
/// Fillers go where they take the least headroom; with this weight, idle processor time decides among nearly equal
/// workers.
constexpr double idleProcessorWeight = 0.3;

/// A job with no task on any worker for this long, which is half of the time that users accept, gets a place for one
/// filler at a reduced pace, even if no worker has enough headroom. PacingSystem then protects the serving tasks there.
constexpr Milliseconds fillerWaitTimeout{1500};
/// A worker that got such a filler gets no other for this time, because the effect of the first one only shows then.
constexpr Milliseconds overcommitInterval{1000};
/// Paces that are tried in turn for such a filler.
constexpr std::array<int, 3> reducedPaces{70, 50, minPace};

/// Processor time that fillers could get on @p worker, in thousandths of a core.
double idleMilliCores(const Worker &worker)
{
    return static_cast<double>(worker.entry.capacity.milliCores) - worker.busyMilliCores;
}

bool onOtherRack(const Worker &worker, const Step &step)
{
    return std::any_of(step.tasks.begin(), step.tasks.end(), [&worker](const Task &task) {
        return task.worker != nullptr && task.worker->entry.rack != worker.entry.rack;
    });
}

} // namespace

const char *placeVerdictName(PlaceVerdict verdict)
{
    static constexpr std::array<const char *, placeVerdictCount> names{
        "fits",      "unlisted", "draining", "not_ready",        "blocked",   "other_service",
        "evacuated", "label",    "room",     "per_worker_limit", "processor", "headroom"};
    return names.at(static_cast<std::size_t>(verdict));
}

Placement::Placement(std::shared_ptr<Context> context)
    : m_context(std::move(context))
{
}

void Placement::dropStaleHeadroom()
{
    const TimePoint now = m_context->now();
    if (now >= m_headroomAt + headroomCacheTimeout) {
        m_headroom.clear();
        m_headroomAt = now;
    }
}

void Placement::invalidateHeadroom(const Worker *worker)
{
    m_headroom.erase(worker);
}

PlaceVerdict Placement::basicVerdict(const Worker &worker, const Step &step) const
{
    const StepSpec &spec = *step.spec;
    if (!worker.listed) {
        return PlaceVerdict::Unlisted;
    }
    if (worker.entry.draining) {
        return PlaceVerdict::Draining;
    }
    if (worker.contact != WorkerContact::Adopted || !worker.recorded || worker.recordNamesRuns) {
        return PlaceVerdict::NotReady;
    }
    if (worker.blockedUntil > m_context->now()) {
        return PlaceVerdict::Blocked;
    }
    if (worker.entry.service != step.occurrence->job->policy.service) {
        return PlaceVerdict::OtherService;
    }
    if (m_context->catalog->evacuated.count(worker.entry.dataCentre) > 0) {
        return PlaceVerdict::Evacuated;
    }
    if (!spec.requiredLabel.empty() && worker.entry.labels.count(spec.requiredLabel) == 0) {
        return PlaceVerdict::Label;
    }
    if (!FleetTable::hasRoom(worker, spec)) {
        return PlaceVerdict::Room;
    }
    if (spec.maxPerWorker > 0 && FleetTable::countOf(worker, step) >= spec.maxPerWorker) {
        return PlaceVerdict::PerWorkerLimit;
    }
    return PlaceVerdict::Fits;
}

PlaceVerdict Placement::verdict(const Worker &worker, const Step &step) const
{
    const PlaceVerdict basic = basicVerdict(worker, step);
    return basic == PlaceVerdict::Fits ? fillerVerdict(worker, step, fullPace) : basic;
}

PlaceVerdict Placement::fillerVerdict(const Worker &worker, const Step &step, int pace) const
{
    if (!step.spec->filler) {
        return PlaceVerdict::Fits;
    }
    if (idleMilliCores(worker) < static_cast<double>(step.spec->perTask.milliCores) * pace / fullPace) {
        return PlaceVerdict::Processor;
    }
    if (worker.overTargetSince != TimePoint{}) {
        return PlaceVerdict::Headroom; // Whatever the model predicts.
    }
    return leavesEnoughHeadroom(worker, *step.spec, pace) ? PlaceVerdict::Fits : PlaceVerdict::Headroom;
}

const std::vector<StepHeadroom> &Placement::headroomOn(const Worker &worker) const
{
    const auto it = m_headroom.find(&worker);
    if (it != m_headroom.end()) {
        return it->second;
    }
    return m_headroom
        .emplace(&worker,
                 headroomOf(worker, m_context->interference, worker.fillerLoad, m_context->now(), placementWindow))
        .first->second;
}

double Placement::headroomLeftWith(const Worker &worker, const StepSpec &filler, int pace) const
{
    const InterferenceModel &model = m_context->interference;
    const double share = shareOf(worker, filler.perTask.milliCores) * pace / fullPace;
    double least = std::numeric_limits<double>::max();
    for (const StepHeadroom &serving : headroomOn(worker)) {
        least = std::min(least, serving.worstCaseWith(model.takenHeadroom(serving.image, filler.image, share)));
    }
    return least;
}

double Placement::headroomTaken(const Worker &worker, const StepSpec &filler, int pace) const
{
    const InterferenceModel &model = m_context->interference;
    const double share = shareOf(worker, filler.perTask.milliCores) * pace / fullPace;
    double most = 0;
    for (const auto &[image, tasks] : worker.servingImages) {
        most = std::max(most, model.takenHeadroom(image, filler.image, share).expected);
    }
    return most;
}

bool Placement::leavesEnoughHeadroom(const Worker &worker, const StepSpec &filler, int pace) const
{
    return headroomLeftWith(worker, filler, pace)
        >= minHeadroomLeft + takenHeadroomMargin * headroomTaken(worker, filler, pace);
}

double Placement::servingCost(const Worker &worker, const StepSpec &spec) const
{
    const bool same = worker.servingImages.count(spec.image) > 0;
    const std::size_t others = worker.servingImages.size() - (same ? 1 : 0);
    // Serving tasks of one image are packed onto the same workers, so that the other workers stay free for fillers.
    return otherImageCost * static_cast<double>(others) - (same ? otherImageCost : 0)
        - shareOf(worker, worker.used.milliCores)
        + std::min(1.0, m_context->interference.takenHeadroom(spec.image, worker.fillerLoad).expected);
}

bool Placement::hasPlaceElsewhere(const Task &task)
{
    dropStaleHeadroom();
    const std::map<WorkerId, std::unique_ptr<Worker>> &workers = m_context->fleet.all();
    return std::any_of(workers.begin(), workers.end(), [&](const auto &entry) {
        return entry.second.get() != task.worker && verdict(*entry.second, *task.step) == PlaceVerdict::Fits;
    });
}

double Placement::cost(const Worker &worker, const Step &step) const
{
    const StepSpec &spec = *step.spec;
    double cost = 0;
    if (spec.tailTarget.count() > 0) {
        cost = servingCost(worker, spec);
    } else if (spec.filler) {
        cost = headroomTaken(worker, spec, fullPace)
            + idleProcessorWeight
                * (1 - idleMilliCores(worker) / std::max(1.0, static_cast<double>(worker.entry.capacity.milliCores)));
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

Worker *Placement::cheapestWorker(const Step &step, int pace) const
{
    Worker *best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (const auto &[id, worker] : m_context->fleet.all()) {
        if (basicVerdict(*worker, step) != PlaceVerdict::Fits) {
            continue;
        }
        const double c = cost(*worker, step);
        if (c >= bestCost || fillerVerdict(*worker, step, pace) != PlaceVerdict::Fits) {
            continue; // The most expensive check comes last.
        }
        bestCost = c;
        best = worker.get();
    }
    return best;
}

Worker *Placement::workerWithMostHeadroom(const Step &step) const
{
    std::vector<Worker *> usable;
    for (const auto &[id, worker] : m_context->fleet.all()) {
        if (basicVerdict(*worker, step) == PlaceVerdict::Fits) {
            usable.push_back(worker.get());
        }
    }
    // A worker with a serving task over its target is chosen only if every worker has one.
    const bool allOverTarget = std::none_of(usable.begin(), usable.end(), [](const Worker *worker) {
        return worker->overTargetSince == TimePoint{};
    });
    Worker *best = nullptr;
    std::pair<double, double> most{std::numeric_limits<double>::lowest(), 0};
    for (Worker *worker : usable) {
        const bool recentlyOvercommitted = m_context->now() < worker->overcommittedAt + overcommitInterval;
        if (recentlyOvercommitted || (!allOverTarget && worker->overTargetSince != TimePoint{})) {
            continue;
        }
        const std::pair<double, double> left{headroomLeftWith(*worker, *step.spec, minPace), idleMilliCores(*worker)};
        if (left > most) {
            most = left;
            best = worker;
        }
    }
    return best;
}

bool Placement::overdue(const Job &job) const
{
    return job.placedTasks == 0 && job.idleSince != TimePoint{}
    && m_context->now() - job.idleSince >= fillerWaitTimeout;
}

Place Placement::choose(const Step &step, bool overdue) const
{
    Worker *worker = cheapestWorker(step, fullPace);
    if (worker != nullptr || !step.spec->filler) {
        return Place{worker, fullPace};
    }
    if (!overdue) {
        return Place{};
    }
    for (const int pace : reducedPaces) {
        worker = cheapestWorker(step, pace);
        if (worker != nullptr) {
            return Place{worker, pace};
        }
    }
    return Place{workerWithMostHeadroom(step), minPace, true};
}

} // namespace fescueledge::workflow
