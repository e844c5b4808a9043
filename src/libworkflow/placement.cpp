#include "placement_pvt.h"

#include <algorithm>
#include <array>
#include <limits>
#include <set>

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

const std::string &nameOf(const std::string &image)
{
    return image;
}

const std::string &nameOf(const std::pair<const std::string, int> &image)
{
    return image.first;
}

/// Cost of a worker on which tasks of @p images serve, for a serving task of image @p own. Serving tasks of one image
/// are packed onto the same workers, so that the other workers stay free for fillers.
template<typename Images>
double imageCost(const Images &images, const std::string &own)
{
    const bool same = std::any_of(images.begin(), images.end(), [&own](const auto &image) {
        return nameOf(image) == own;
    });
    const std::size_t others = images.size() - (same ? 1 : 0);
    return otherImageCost * static_cast<double>(others) - (same ? otherImageCost : 0);
}

bool onOtherRack(const Worker &worker, const Step &step)
{
    return std::any_of(step.tasks.begin(), step.tasks.end(), [&worker](const Task &task) {
        return task.worker != nullptr && task.worker->entry.rack != worker.entry.rack;
    });
}

/// Whether a worker that has refused starts for lack of room has yet to answer the one that was sent after the wait.
bool isProbedForRoom(const Worker &worker)
{
    return worker.life.roomBackoff.refusals > 0
        && std::any_of(worker.tasks.begin(), worker.tasks.end(), [](const Task *task) {
               return task->phase == TaskPhase::Starting;
           });
}

} // namespace

const char *placeVerdictName(PlaceVerdict verdict)
{
    static constexpr std::array<const char *, placeVerdictCount> names{
        "fits",       "unlisted",         "draining",      "unadopted", "silent",  "unrecorded",
        "runs_named", "blocked",          "other_service", "evacuated", "label",   "room",
        "held",       "per_worker_limit", "processor",     "headroom",  "isolated"};
    return names.at(static_cast<std::size_t>(verdict));
}

Placement::Placement(std::shared_ptr<Context> context)
    : m_context(std::move(context))
{
}

void Placement::forgetRejections()
{
    m_rejected.clear();
    m_rejectedFor = {nullptr, 0};
}

void Placement::dropStaleHeadroom()
{
    forgetRejections();
    m_context->fleet.candidates().restoreIf([this](const Worker &worker) {
        return workerVerdict(worker) == PlaceVerdict::Fits;
    });
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

PlaceVerdict Placement::workerVerdict(const Worker &worker) const
{
    if (!worker.listed) {
        return PlaceVerdict::Unlisted;
    }
    if (worker.entry.draining) {
        return PlaceVerdict::Draining;
    }
    if (worker.contact != WorkerContact::Adopted) {
        return worker.contact == WorkerContact::Unadopted ? PlaceVerdict::Unadopted : PlaceVerdict::Silent;
    }
    if (worker.life.isDoubted) {
        return PlaceVerdict::Silent;
    }
    if (!worker.recorded || worker.recordNamesRuns || worker.recordNamesLeaseEnd) {
        return worker.recorded ? PlaceVerdict::RunsNamed : PlaceVerdict::Unrecorded;
    }
    if (std::max(worker.life.blockedUntil, worker.life.roomBackoff.until) > m_context->now()
        || isProbedForRoom(worker)) {
        return PlaceVerdict::Blocked;
    }
    if (m_context->catalog->evacuated.count(worker.entry.dataCentre) > 0) {
        return PlaceVerdict::Evacuated;
    }
    return PlaceVerdict::Fits;
}

PlaceVerdict Placement::basicVerdict(const Worker &worker, const Step &step) const
{
    ++m_considered;
    const StepSpec &spec = *step.spec;
    if (worker.entry.service != step.occurrence->job->policy.service) {
        return PlaceVerdict::OtherService;
    }
    const PlaceVerdict usable = workerVerdict(worker);
    if (usable != PlaceVerdict::Fits) {
        return usable;
    }
    if (!worker.isolatedFor.empty() && worker.isolatedFor != step.occurrence->job->id) {
        return PlaceVerdict::Isolated;
    }
    if (!spec.requiredLabel.empty() && worker.entry.labels.count(spec.requiredLabel) == 0) {
        return PlaceVerdict::Label;
    }
    if (!FleetTable::hasRoom(worker, spec)) {
        return PlaceVerdict::Room;
    }
    if (worker.heldForStep && *worker.heldForStep != step.creationIndex) {
        return PlaceVerdict::Held;
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

bool Placement::takes(const Worker &worker, const Step &step) const
{
    return basicVerdict(worker, step) == PlaceVerdict::Fits;
}

Worker *Placement::leastLossWorker(const Step &step, bool besideNewRuns) const
{
    const Job *job = step.occurrence->job;
    Worker *best = nullptr;
    std::pair<bool, std::size_t> least;
    for (const auto &[id, worker] : m_context->fleet.all()) {
        const bool hasNewRuns = std::any_of(worker->tasks.begin(), worker->tasks.end(), [job](const Task *task) {
            return !task->lasted && task->step->occurrence->job != job;
        });
        const std::pair<bool, std::size_t> loss{hasNewRuns, worker->tasks.size()};
        const bool allowed = besideNewRuns || !hasNewRuns;
        if (allowed && (best == nullptr || loss < least) && takes(*worker, step)) {
            best = worker.get();
            least = loss;
        }
    }
    return best;
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

template<typename Images>
double Placement::headroomTakenFrom(const Images &images, const std::string &filler, double share) const
{
    double most = 0;
    for (const auto &image : images) {
        most = std::max(most, m_context->interference.takenHeadroom(nameOf(image), filler, share).expected);
    }
    return most;
}

double Placement::headroomTaken(const Worker &worker, const StepSpec &filler, int pace) const
{
    const double share = shareOf(worker, filler.perTask.milliCores) * pace / fullPace;
    return headroomTakenFrom(worker.servingImages, filler.image, share);
}

bool Placement::leavesEnoughHeadroom(const Worker &worker, const StepSpec &filler, int pace) const
{
    return headroomLeftWith(worker, filler, pace)
        >= minHeadroomLeft + takenHeadroomMargin * headroomTaken(worker, filler, pace);
}

double Placement::servingCost(const Worker &worker, const StepSpec &spec) const
{
    return imageCost(worker.servingImages, spec.image) - usedShare(worker)
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
        cost = headroomTaken(worker, spec, fullPace) + idleProcessorWeight * busyShare(worker);
    } else {
        cost = usedShare(worker);
    }
    if (!spec.dataRack.empty() && worker.entry.rack != spec.dataRack) {
        cost += remoteDataCost;
    }
    if ((spec.rackSensitive || spec.gang) && onOtherRack(worker, step)) {
        cost += otherRackCost;
    }
    return cost;
}

void Placement::consider(Worker *worker, const Step &step, int pace, Candidate *best) const
{
    if (m_rejected.count(worker) > 0) {
        ++m_considered;
        return;
    }
    if (basicVerdict(*worker, step) != PlaceVerdict::Fits) {
        m_rejected.insert(worker);
        if (workerVerdict(*worker) != PlaceVerdict::Fits) {
            m_unusable.push_back(worker);
        }
        return;
    }
    const double c = cost(*worker, step);
    if (c >= best->cost) {
        return;
    }
    if (fillerVerdict(*worker, step, pace) != PlaceVerdict::Fits) { // The most expensive check comes last.
        m_rejected.insert(worker);
        return;
    }
    *best = Candidate{worker, c};
}

double Placement::considerPreferredRacks(const Step &step, int pace, Candidate *best) const
{
    const StepSpec &spec = *step.spec;
    std::set<std::string> racks;
    double elsewhere = 0;
    if (!spec.dataRack.empty()) {
        racks.insert(spec.dataRack);
        elsewhere = remoteDataCost;
    }
    if (spec.rackSensitive || spec.gang) {
        for (const Task &task : step.tasks) {
            if (task.worker != nullptr) {
                racks.insert(task.worker->entry.rack);
                elsewhere = elsewhere > 0 ? std::min(elsewhere, otherRackCost) : otherRackCost;
            }
        }
    }
    const bool costsShare = spec.tailTarget.count() == 0 && !spec.filler; // At least the share that is reserved.
    const std::string &service = step.occurrence->job->policy.service;
    for (const std::string &rack : racks) {
        for (const auto &[share, worker] : m_context->fleet.candidates().byUseOnRack(service, rack)) {
            if (costsShare && share >= best->cost) {
                break;
            }
            consider(worker, step, pace, best);
        }
    }
    return elsewhere;
}

void Placement::considerByUse(const Step &step, int pace, double elsewhere, Candidate *best) const
{
    const CandidateIndex &index = m_context->fleet.candidates();
    const std::string &service = step.occurrence->job->policy.service;
    const std::string &label = step.spec->requiredLabel;
    for (const auto &[share, worker] : label.empty() ? index.byUse(service) : index.byUseWithLabel(service, label)) {
        if (share + elsewhere >= best->cost) {
            return;
        }
        consider(worker, step, pace, best);
    }
}

void Placement::considerForServing(const Step &step, int pace, double elsewhere, Candidate *best) const
{
    using Bound = std::pair<double, const CandidateIndex::Group *>;
    std::vector<Bound> bounds;
    for (const CandidateIndex::Group *group :
         m_context->fleet.candidates().groups(step.occurrence->job->policy.service)) {
        bounds.emplace_back(imageCost(group->images, step.spec->image) + elsewhere, group);
    }
    std::sort(bounds.begin(), bounds.end(), [](const Bound &a, const Bound &b) {
        return a.first < b.first;
    });
    for (const auto &[bound, group] : bounds) {
        for (const auto &[negatedShare, worker] : group->mostUsed) {
            if (bound + negatedShare >= best->cost) {
                break;
            }
            consider(worker, step, pace, best);
        }
    }
}

void Placement::considerForFiller(const Step &step, int pace, double elsewhere, Candidate *best) const
{
    /// The workers of a group that are still to be considered.
    struct Walk
    {
        double taken = 0; ///< Headroom that the filler takes from the serving tasks of the group.
        const CandidateIndex::Group *group = nullptr;
        CandidateIndex::ByLoad::const_iterator next;

        double bound() const
        {
            return taken + idleProcessorWeight * next->first;
        }
    };
    const auto laterFirst = [](const Walk &a, const Walk &b) {
        return a.bound() > b.bound();
    };
    std::vector<Walk> walks;
    for (const CandidateIndex::Group *group :
         m_context->fleet.candidates().groups(step.occurrence->job->policy.service)) {
        const double share = static_cast<double>(step.spec->perTask.milliCores)
            / static_cast<double>(std::max<std::int64_t>(1, group->milliCores));
        const double taken = headroomTakenFrom(group->images, step.spec->image, share);
        walks.push_back(Walk{taken, group, group->byBusy.begin()});
    }
    std::make_heap(walks.begin(), walks.end(), laterFirst);
    while (!walks.empty() && walks.front().bound() + elsewhere < best->cost) {
        std::pop_heap(walks.begin(), walks.end(), laterFirst);
        Walk &walk = walks.back();
        consider(walk.next->second, step, pace, best);
        if (++walk.next == walk.group->byBusy.end()) {
            walks.pop_back();
        } else {
            std::push_heap(walks.begin(), walks.end(), laterFirst);
        }
    }
}

Worker *Placement::cheapestWorker(const Step &step, int pace) const
{
    if (m_rejectedFor != std::make_pair(&step, pace)) {
        m_rejectedFor = {&step, pace};
        m_rejected.clear();
    }
    Candidate best;
    const double elsewhere = considerPreferredRacks(step, pace, &best);
    if (step.spec->tailTarget.count() > 0) {
        considerForServing(step, pace, elsewhere, &best);
    } else if (step.spec->filler) {
        considerForFiller(step, pace, elsewhere, &best);
    } else {
        considerByUse(step, pace, elsewhere, &best);
    }
    for (Worker *worker : m_unusable) {
        m_context->fleet.candidates().park(worker);
    }
    m_unusable.clear();
    return best.worker;
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
