#include "placement_pvt.h"

#include "reservations_pvt.h"

#include <algorithm>
#include <array>
#include <limits>
#include <set>
#include <tuple>

namespace fescueledge::workflow {

namespace {

/// A task that starts on a reserved worker counts as working for this many times the forecast, which is off by 0.2 to
/// 0.9 either way, rounded up.
constexpr double backfillMargin = 1.25;
/// Number of binary digits that are kept of that time: the fewer different times there are, the more steps share the
/// result of a failed search.
constexpr int spanDigits = 3;
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

/// The share of a worker of @p capacity that may be in use beside a task of @p need; both in thousandths of a core.
double shareBeside(std::int64_t need, std::int64_t capacity)
{
    constexpr double roundingError = 1e-9;
    return 1 - static_cast<double>(need) / static_cast<double>(std::max<std::int64_t>(1, capacity)) + roundingError;
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

/// Values of FailedSearches::Backfill::rule.
constexpr int backfillOfOverdue = 1;
constexpr int backfillOfGangs = 2;

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

void Placement::dropStale()
{
    m_now = m_context->now();
    forgetSearch();
    m_unplaceableOverdue.clear();
    m_failed.dropOld(m_now);
    m_context->fleet.candidates().restoreIf([this](const Worker &worker) {
        return workerVerdict(worker) == PlaceVerdict::Fits;
    });
    if (m_now >= m_headroomAt + headroomCacheTimeout) {
        m_headroom.clear();
        m_headroomAt = m_now;
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
    if (std::max(worker.life.blockedUntil, worker.life.roomBackoff.until) > m_now || isProbedForRoom(worker)) {
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
    if (worker.heldForStep && *worker.heldForStep != step.creationIndex && !mayBackfill(worker, step)) {
        return PlaceVerdict::Held;
    }
    if (spec.maxPerWorker > 0 && FleetTable::countOf(worker, step) >= spec.maxPerWorker) {
        return PlaceVerdict::PerWorkerLimit;
    }
    return PlaceVerdict::Fits;
}

FailedSearches::Backfill Placement::backfillOf(const Step &step) const
{
    if (!m_context->settings.lookAhead) {
        return {};
    }
    if (step.spec->gang) {
        return {backfillOfGangs, backfillSpan(step)};
    }
    return {Reservations::waitsTooLong(step, m_context->now()) ? backfillOfOverdue : 0, backfillSpan(step)};
}

Duration Placement::backfillSpan(const Step &step) const
{
    if (step.spec->longRunning || step.spec->estimate.count() == 0) {
        return Duration::max(); // It may work for any time.
    }
    const Duration span = std::chrono::duration_cast<Duration>(m_context->expectedSpan(step) * backfillMargin);
    std::int64_t unit = 1;
    for (std::int64_t left = std::chrono::duration_cast<Milliseconds>(span).count(); left >= (1 << spanDigits);
         left /= 2) {
        unit *= 2;
    }
    const std::int64_t units = std::chrono::duration_cast<Milliseconds>(span).count() / unit + 1;
    return Milliseconds(units * unit);
}

bool Placement::mayBackfill(const Worker &worker, const Step &step) const
{
    if (!worker.reservation) {
        return false;
    }
    const TimePoint now = m_context->now();
    if (Reservations::waitsTooLong(step, now) && !worker.isHeldForLongRunning) {
        return true; // Its task would count as lost before the reservation ends.
    }
    const Duration span = backfillSpan(step);
    const TimePoint end = span == Duration::max() ? TimePoint::max() : now + span;
    // The members of a gang are placed together, and would all take the same room beside the reserved task.
    return step.spec->gang ? end <= worker.reservation->startsAt
                           : reserve::mayBackfill(*worker.reservation, FleetTable::reservedBy(*step.spec), end);
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
    dropStale();
    const Worker *worker = cheapestWorker(*task.step, fullPace);
    return worker != nullptr && worker != task.worker;
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
    if (m_search.rejected.count(worker) > 0) {
        ++m_considered;
        return;
    }
    const PlaceVerdict basic = basicVerdict(*worker, step);
    if (basic != PlaceVerdict::Fits) {
        m_search.rejected.insert(worker);
        m_search.metReservation |= basic == PlaceVerdict::Held && worker->reservation.has_value();
        if (workerVerdict(*worker) != PlaceVerdict::Fits) {
            m_unusable.push_back(worker);
        }
        return;
    }
    const double c = cost(*worker, step);
    // Equal workers are chosen by id, in whatever order they are considered.
    if (best->worker != nullptr && std::tie(best->cost, best->worker->id) < std::tie(c, worker->id)) {
        return;
    }
    if (fillerVerdict(*worker, step, pace) != PlaceVerdict::Fits) { // The most expensive check comes last.
        m_search.rejected.insert(worker);
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
    const double maxShare = shareBeside(step.spec->perTask.milliCores, index.maxMilliCores());
    for (const auto &[share, worker] : label.empty() ? index.byUse(service) : index.byUseWithLabel(service, label)) {
        if (share + elsewhere >= best->cost || share > maxShare) {
            return;
        }
        consider(worker, step, pace, best);
    }
}

void Placement::considerForServing(const Step &step, int pace, double elsewhere, Candidate *best) const
{
    /// The workers of a group that have enough processor time left.
    struct Bound
    {
        double cost = 0;
        const CandidateIndex::Group *group = nullptr;
        CandidateIndex::ByLoad::const_iterator first;
    };
    std::vector<Bound> bounds;
    for (const CandidateIndex::Group *group :
         m_context->fleet.candidates().groups(step.occurrence->job->policy.service)) {
        const double maxShare = shareBeside(step.spec->perTask.milliCores, group->milliCores);
        const auto first = group->mostUsed.lower_bound(-maxShare);
        if (first != group->mostUsed.end()) {
            bounds.push_back(Bound{imageCost(group->images, step.spec->image) + elsewhere, group, first});
        }
    }
    std::sort(bounds.begin(), bounds.end(), [](const Bound &a, const Bound &b) {
        return a.cost < b.cost;
    });
    for (const Bound &bound : bounds) {
        for (auto it = bound.first; it != bound.group->mostUsed.end(); ++it) {
            if (bound.cost + it->first >= best->cost) {
                break;
            }
            consider(it->second, step, pace, best);
        }
    }
}

std::vector<Placement::Walk> Placement::walksFor(const Step &step) const
{
    const CandidateIndex &index = m_context->fleet.candidates();
    std::vector<double> takenByImage; // By a filler that uses a whole worker.
    for (const std::string &image : index.imageNames()) {
        takenByImage.push_back(m_context->interference.takenHeadroom(image, step.spec->image, 1).expected);
    }
    std::vector<Walk> walks;
    for (const CandidateIndex::Group *group : index.groups(step.occurrence->job->policy.service)) {
        const double share = static_cast<double>(step.spec->perTask.milliCores)
            / static_cast<double>(std::max<std::int64_t>(1, group->milliCores));
        Walk walk;
        walk.group = group;
        for (const std::size_t number : group->imageNumbers) {
            walk.taken = std::max(walk.taken, takenByImage[number] * share);
        }
        walk.bound = walk.taken + idleProcessorWeight * group->byBusy.begin()->first;
        walks.push_back(walk);
    }
    std::make_heap(walks.begin(), walks.end());
    return walks;
}

bool Placement::considerWalk(const Step &step, int pace, double elsewhere, Walk *walk, Candidate *best) const
{
    const double maxBusy = shareBeside(step.spec->perTask.milliCores * pace / fullPace, walk->group->milliCores);
    bool isFirst = true;
    for (const auto &[busy, worker] : walk->group->byBusy) {
        if (busy > maxBusy) {
            break;
        }
        if (m_search.rejected.count(worker) > 0) {
            continue;
        }
        const double bound = walk->taken + idleProcessorWeight * busy;
        if (isFirst) {
            walk->bound = bound;
            isFirst = false;
        }
        if (bound + elsewhere >= best->cost) {
            break;
        }
        consider(worker, step, pace, best);
    }
    return !isFirst;
}

void Placement::considerForFiller(const Step &step, int pace, double elsewhere, Candidate *best) const
{
    if (!m_search.hasWalks) {
        m_search.walks = walksFor(step);
        m_search.hasWalks = true;
    }
    // Loads only grow during a search, so a bound of an earlier task is still one, if not the closest.
    std::vector<Walk> &walks = m_search.walks;
    std::vector<Walk> considered;
    while (!walks.empty() && walks.front().bound + elsewhere < best->cost) {
        std::pop_heap(walks.begin(), walks.end());
        Walk walk = walks.back();
        walks.pop_back();
        if (considerWalk(step, pace, elsewhere, &walk, best)) {
            considered.push_back(walk);
        }
    }
    for (const Walk &walk : considered) {
        walks.push_back(walk);
        std::push_heap(walks.begin(), walks.end());
    }
}

void Placement::forgetSearch() const
{
    m_search = Search{};
}

void Placement::continueSearch(const Step &step, int pace) const
{
    const CandidateIndex &index = m_context->fleet.candidates();
    if (m_search.step != &step || m_search.pace != pace || m_search.freed != index.freed().count()) {
        forgetSearch();
        m_search.step = &step;
        m_search.pace = pace;
        m_search.freed = index.freed().count();
    }
    if (m_search.groupsVersion != index.groupsVersion()) {
        m_search.hasWalks = false;
        m_search.groupsVersion = index.groupsVersion();
    }
}

void Placement::considerAll(const Step &step, int pace, Candidate *best) const
{
    const double elsewhere = considerPreferredRacks(step, pace, best);
    if (step.spec->tailTarget.count() > 0) {
        considerForServing(step, pace, elsewhere, best);
    } else if (step.spec->filler) {
        considerForFiller(step, pace, elsewhere, best);
    } else {
        considerByUse(step, pace, elsewhere, best);
    }
}

void Placement::considerWithheld(const Step &step, int pace, Candidate *best) const
{
    constexpr int maxFitting = 8; // A better place is not worth more looks.
    if (!m_search.hasWithheld) {
        m_search.withheld = m_context->fleet.candidates().withheld();
        m_search.hasWithheld = true;
    }
    int fitting = 0;
    std::vector<Worker *> &workers = m_search.withheld;
    for (auto it = workers.begin(); it != workers.end() && fitting < maxFitting;) {
        consider(*it, step, pace, best);
        const bool isRejected = m_search.rejected.count(*it) > 0;
        fitting += isRejected ? 0 : 1;
        it = isRejected ? workers.erase(it) : std::next(it);
    }
}

bool Placement::mayHaveRoomSince(std::uint64_t freed, const Step &step) const
{
    const ChangeOrder &order = m_context->fleet.candidates().freed();
    if (m_freedRoom.since != freed || m_freedRoom.count != order.count()) {
        m_freedRoom = FreedRoom{freed, order.count(), Resources{}};
        for (auto it = order.after(freed); it != order.end(); ++it) {
            ++m_considered;
            Resources left = it->second->entry.capacity;
            left -= it->second->used;
            m_freedRoom.most = largestOf(m_freedRoom.most, left);
        }
    }
    return FleetTable::reservedBy(*step.spec).fitsIn(m_freedRoom.most);
}

void Placement::considerChanged(const Step &step, int pace, const FailedSearches::State &state, Candidate *best) const
{
    const CandidateIndex &index = m_context->fleet.candidates();
    if (mayHaveRoomSince(state.freed, step)) {
        if (m_search.changedSince != state.freed) {
            m_search.changedSince = state.freed;
            m_search.changed.clear();
            for (auto it = index.freed().after(state.freed); it != index.freed().end(); ++it) {
                m_search.changed.push_back(it->second);
            }
        }
        // Those that don't fit one task of the step don't fit the next either.
        std::vector<Worker *> &workers = m_search.changed;
        workers.erase(std::remove_if(workers.begin(), workers.end(),
                                     [this, &step, pace, best](Worker *worker) {
                                         consider(worker, step, pace, best);
                                         return m_search.rejected.count(worker) > 0;
                                     }),
                      workers.end());
    }
    if (step.spec->filler) {
        for (auto it = index.eased().after(state.eased); it != index.eased().end(); ++it) {
            consider(it->second, step, pace, best);
        }
    }
}

Worker *Placement::cheapestWorker(const Step &step, int pace) const
{
    continueSearch(step, pace);
    CandidateIndex &index = m_context->fleet.candidates();
    Candidate best;
    const FailedSearches::Backfill backfill = backfillOf(step);
    const std::optional<FailedSearches::State> failed = m_failed.find(step, pace, backfill);
    if (failed) {
        considerChanged(step, pace, *failed, &best);
    } else {
        considerAll(step, pace, &best);
        if (best.worker == nullptr && !index.withheld().empty()) {
            considerWithheld(step, pace, &best);
        }
    }
    if (best.worker == nullptr) {
        const Duration earlierSpan = failed ? failed->span : FailedSearches::anySpan;
        m_failed.record(step, pace, backfill,
                        {index.freed().count(), index.eased().count(), failed ? failed->searchedAt : m_now,
                         m_search.metReservation ? backfill.span : earlierSpan});
    }
    for (Worker *worker : m_unusable) {
        index.park(worker);
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
    std::vector<Resources> &unplaceable = m_unplaceableOverdue[step.spec->image];
    const bool isKnown = std::any_of(unplaceable.begin(), unplaceable.end(), [&step](const Resources &need) {
        return need.fitsIn(step.spec->perTask);
    });
    if (isKnown) {
        return Place{};
    }
    for (const int pace : reducedPaces) {
        worker = cheapestWorker(step, pace);
        if (worker != nullptr) {
            return Place{worker, pace};
        }
    }
    worker = workerWithMostHeadroom(step);
    if (worker == nullptr && step.spec->maxPerWorker == 0) {
        unplaceable.push_back(step.spec->perTask);
    }
    return Place{worker, minPace, true};
}

} // namespace fescueledge::workflow
