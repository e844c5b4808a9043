#pragma once

#include "context_pvt.h"
#include "failedsearches_pvt.h"
#include "headroom_pvt.h"

#include <limits>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace fescueledge::workflow {

/// Whether a worker fits tasks of a step, and if not, why.
enum class PlaceVerdict {
    Fits,
    Unlisted, ///< It is no longer in the list of workers.
    Draining,
    Unadopted, ///< It has not answered in this term.
    Silent, ///< It does not answer at present.
    Unrecorded, ///< It is not in the durable record of workers yet.
    RunsNamed, ///< The record names its runs or the end of its lease, and has to be written without them first.
    Blocked, ///< It gets no starts at present, because it failed, refused or did not answer.
    OtherService,
    Evacuated,
    Label,
    Room,
    Held, ///< It is kept free for a task of another step.
    PerWorkerLimit,
    Processor, ///< Too little idle processor time for a filler.
    Headroom, ///< A serving task there would have too little headroom beside a filler.
    Isolated, ///< It is isolated for another job.
};
constexpr std::size_t placeVerdictCount = 17;

/// The name of @p verdict in logs.
const char *placeVerdictName(PlaceVerdict verdict);

/// Where a task may start.
struct Place
{
    Worker *worker = nullptr; ///< nullptr if there is none.
    int pace = fullPace; ///< Percent; only fillers are slowed down.
    bool overcommitted = false; ///< The serving tasks there may get too little headroom.
};

/// Finds workers for tasks.
class Placement
{
public:
    explicit Placement(std::shared_ptr<Context> context);

    /// Drops what is out of date; call before a series of queries.
    void dropStale();
    /// Drops the cached headroom of @p worker, because the tasks on it have changed.
    void invalidateHeadroom(const Worker *worker);
    /// The best place for a task of @p step. If its job is @p overdue, a filler may get a place at a reduced pace, or,
    /// if no worker has enough headroom, on the one with the most headroom left.
    Place choose(const Step &step, bool overdue) const;
    /// Whether @p job has had no task on any worker for too long.
    bool overdue(const Job &job) const;
    /// Whether another worker could take the filler @p task at once and with enough headroom.
    bool hasPlaceElsewhere(const Task &task);
    /// Whether @p worker could take a task of @p step, and if not, why.
    PlaceVerdict verdict(const Worker &worker, const Step &step) const;
    /// The same, whatever the task would do to the serving tasks there.
    bool takes(const Worker &worker, const Step &step) const;
    /// The worker that can take a task of @p step and whose crash would do the least harm; only one with new runs of
    /// other jobs if @p besideNewRuns. nullptr if there is none.
    Worker *leastLossWorker(const Step &step, bool besideNewRuns) const;
    /// The cost of a task of @p step on @p worker; the cheapest worker that fits is the best one.
    double cost(const Worker &worker, const Step &step) const;
    /// Number of workers looked at for all choices so far.
    std::uint64_t considered() const
    {
        return m_considered;
    }

    /// How long a task of @p step has to be expected to work at most beside a reservation, with a margin for the error
    /// of the forecast; the longest time there is if it may work for any.
    Duration backfillSpan(const Step &step) const;
    /// Whether @p worker gets tasks of any step of its service at present, and if not, why.
    PlaceVerdict workerVerdict(const Worker &worker) const;

private:
    /// Whether a task of @p step may start on @p worker although that is reserved for another step.
    bool mayBackfill(const Worker &worker, const Step &step) const;
    FailedSearches::Backfill backfillOf(const Step &step) const;
    /// The verdict on everything but the interference between fillers and serving tasks.
    PlaceVerdict basicVerdict(const Worker &worker, const Step &step) const;
    /// The verdict on idle processor time and interference, for fillers.
    PlaceVerdict fillerVerdict(const Worker &worker, const Step &step, int pace) const;
    /// A worker and the cost of a task there.
    struct Candidate
    {
        Worker *worker = nullptr;
        double cost = std::numeric_limits<double>::max();
    };
    /// The workers of a group that a filler may still be placed on.
    struct Walk
    {
        double bound = 0; ///< Lower bound of the cost on any of them.
        double taken = 0; ///< Headroom that the filler takes from the serving tasks of the group.
        const CandidateIndex::Group *group = nullptr;

        bool operator<(const Walk &other) const
        {
            return bound > other.bound; // The top of a heap is the cheapest.
        }
    };
    /// What searches for tasks of one step at one pace have found. It holds while tasks are only added.
    struct Search
    {
        const Step *step = nullptr;
        int pace = 0;
        std::uint64_t freed = 0; ///< ChangeOrder::count() of CandidateIndex::freed().
        std::uint64_t groupsVersion = 0;
        std::unordered_set<const Worker *> rejected; ///< Workers that do not fit.
        bool metReservation = false; ///< One of them is reserved, and may fit a shorter task.
        std::optional<std::uint64_t> changedSince; ///< FailedSearches::State::freed to which `changed` refers.
        std::vector<Worker *> changed; ///< Workers that were freed since and may fit.
        bool hasWithheld = false;
        std::vector<Worker *> withheld; ///< Reserved workers that may fit.
        bool hasWalks = false;
        std::vector<Walk> walks; ///< A heap.
    };

    /// The best worker for a task of @p step at @p pace; nullptr if there is none.
    Worker *cheapestWorker(const Step &step, int pace) const;
    /// Makes m_search that for tasks of @p step at @p pace.
    void continueSearch(const Step &step, int pace) const;
    std::vector<Walk> walksFor(const Step &step) const;
    /// Considers all workers.
    void considerAll(const Step &step, int pace, Candidate *best) const;
    /// Considers the reserved workers.
    void considerWithheld(const Step &step, int pace, Candidate *best) const;
    /// Considers the workers that may take a task since a search in @p state found none.
    void considerChanged(const Step &step, int pace, const FailedSearches::State &state, Candidate *best) const;
    /// Whether a worker that was freed after change @p freed may have room for a task of @p step.
    bool mayHaveRoomSince(std::uint64_t freed, const Step &step) const;
    /// Considers the workers of @p walk while they can cost less than @p best. Returns whether it may be continued for
    /// another task.
    bool considerWalk(const Step &step, int pace, double elsewhere, Walk *walk, Candidate *best) const;
    void forgetSearch() const;
    /// Replaces @p best by @p worker if that fits and costs less.
    void consider(Worker *worker, const Step &step, int pace, Candidate *best) const;
    /// These consider workers in the order of a lower bound of their cost, until none left can cost less than @p best.
    /// Workers on preferred racks have been considered before; any other costs @p elsewhere more.
    void considerByUse(const Step &step, int pace, double elsewhere, Candidate *best) const;
    void considerForServing(const Step &step, int pace, double elsewhere, Candidate *best) const;
    void considerForFiller(const Step &step, int pace, double elsewhere, Candidate *best) const;
    /// Considers all workers on racks where a task of @p step may cost less than elsewhere. Returns by how much at
    /// least; 0 if there are no such racks.
    double considerPreferredRacks(const Step &step, int pace, Candidate *best) const;
    /// The worker whose serving tasks keep the most headroom beside a task of @p step at minPace.
    Worker *workerWithMostHeadroom(const Step &step) const;
    double servingCost(const Worker &worker, const StepSpec &spec) const;
    /// Headroom that a filler that uses @p share of a worker takes at most from a serving task of one of @p images.
    template<typename Images>
    double headroomTakenFrom(const Images &images, const std::string &filler, double share) const;
    /// Headroom of the serving steps on @p worker beside the fillers there, at their pace.
    const std::vector<StepHeadroom> &headroomOn(const Worker &worker) const;
    /// The minimum headroom that serving tasks on @p worker would keep beside one more task of @p filler at @p pace.
    double headroomLeftWith(const Worker &worker, const StepSpec &filler, int pace) const;
    /// The maximum headroom that one more task of @p filler at @p pace would take from a serving task on @p worker.
    double headroomTaken(const Worker &worker, const StepSpec &filler, int pace) const;
    bool leavesEnoughHeadroom(const Worker &worker, const StepSpec &filler, int pace) const;

    std::shared_ptr<Context> m_context;
    /// Cached headroom by worker; an entry is dropped when something is placed there.
    mutable std::unordered_map<const Worker *, std::vector<StepHeadroom>> m_headroom;
    mutable Search m_search;
    mutable FailedSearches m_failed;
    /// The most of each resource that is free on a worker that was freed after change `since`, when `count` changes had
    /// been recorded.
    struct FreedRoom
    {
        std::uint64_t since = 0;
        std::uint64_t count = 0;
        Resources most;
    };
    mutable FreedRoom m_freedRoom;
    mutable std::vector<Worker *> m_unusable; ///< Workers that were found to get no tasks at present.
    mutable std::uint64_t m_considered = 0;
    /// Sizes of fillers of overdue jobs, by image, that found no worker at any pace since dropStale().
    mutable std::map<std::string, std::vector<Resources>> m_unplaceableOverdue;
    TimePoint m_headroomAt{}; ///< When the cache was last cleared.
    TimePoint m_now{}; ///< When dropStale() was last called. A series of queries does not read the clock again.
};

} // namespace fescueledge::workflow
