#pragma once

#include "fescueledge/account/accountusage.h"
#include "fescueledge/reserve/endfactor.h"
#include "fescueledge/reserve/roomforecast.h"
#include "fescueledge/workflow/catalog.h"
#include "fescueledge/workflow/workergateway.h"
#include "fescueledge/workflow/workflowspec.h"
#include "servingtrend_pvt.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Entities that a coordinator keeps in its tables and its systems work on.
namespace fescueledge::workflow {

class CandidateIndex;
struct RecordPart;
struct Worker;
struct Task;
struct Step;
struct Occurrence;
struct Job;

/// Orders steps and tasks by creation, so that equal inputs lead to equal decisions.
struct CreationOrder
{
    bool operator()(const Step *a, const Step *b) const;
    bool operator()(const Task *a, const Task *b) const;
};

using TaskSet = std::set<Task *, CreationOrder>;

/// Phase of a task.
enum class TaskPhase {
    Idle, ///< Not on any worker.
    Starting, ///< The start order has been sent and not yet answered.
    Uncertain, ///< The start order timed out: the task may be running, or may still start.
    Running,
    Stopping, ///< A stop order has been sent; the task keeps its reservation until its end is known.
    Done,
};

constexpr int fullPace = 100; ///< Percent.
/// Below this pace a filler is paused.
constexpr int minPace = 10;
/// Pace of a run whose last pace order was not answered or may come from an earlier coordinator.
constexpr int unknownPace = -1;

/// A run whose worker crashed before the run had lasted; see CrashLedger.
struct CrashedRun
{
    RunNumber run = 0;
    WorkerId worker;
    bool isolated = false; ///< The worker was isolated for the job, so nothing else can have crashed it.
    bool answered = false; ///< The worker had answered the start or listed the run; otherwise it may never have begun.
    /// The run need not be the cause: many workers nearby failed at the same time, or the worker may only be out of
    /// reach.
    bool excused = false;
};

/// The work that a run has done since this coordinator has watched it.
struct WatchedWork
{
    RunNumber run = 0;
    TimePoint countedUntil{};
    Duration worked{0}; ///< As time at full pace.
    int firstPercent = 0; ///< Its progress at first.
};

/// One task of a step.
struct Task
{
    Step *step = nullptr;
    std::uint32_t index = 0;
    TaskPhase phase = TaskPhase::Idle;
    Worker *worker = nullptr; ///< Set in all phases but Idle and Done.
    RunNumber run = 0; ///< Highest run number used so far.
    TimePoint orderedAt{}; ///< When this term sent the last start order; the epoch if it sent none.
    std::vector<RunNumber> failedRuns; ///< Failed runs; each counts once, however often it is reported.
    std::vector<CrashedRun> crashedRuns; ///< Each run counts once, however often its worker's crash is noticed.
    std::string checkpoint;
    TimePoint phaseSince{}; ///< When the phase began.
    bool seenOnWorker = false; ///< The worker has reported the run, so its start order is no longer pending.
    TimePoint atWorkSince{}; ///< When the worker first reported the run at work; the epoch before.
    bool lasted = false; ///< The run was at work for long enough not to be the cause if the worker crashes.
    /// The worker no longer lists the run at work, and has not listed its end yet.
    bool hasUnlistedEnd = false;
    bool stopConfirmed = false; ///< The worker has confirmed the stop order, so it refuses a late start of the run.
    int percentAtWork = 0; ///< ActiveRun::percentAtWork, as reported by the worker.
    bool hasStartedUp = false; ///< The worker has reported the run fully at work, before any order to slow it down.
    TimePoint progressAt{}; ///< When the percentage last changed.
    std::int64_t gauge = 0; ///< ActiveRun::gauge, as reported by the worker.
    int pace = fullPace; ///< Last ordered pace in percent, or unknownPace.
    TimePoint pacedAt{}; ///< When that order was sent.
    TimePoint latePaceOrdersUntil{}; ///< Until when an earlier unanswered pace order may still take effect.
    TimePoint pausedSince{}; ///< Since when a filler has been paused; the epoch if it is not.
    TimePoint slowSince{}; ///< Since when a filler has had a low pace; the epoch if it has not.
    bool moveDeclined = false; ///< It has been left in place since it has had a low pace.
    WatchedWork work;
    /// Since when the tail latency of a serving task has been over its target; the epoch if it is not.
    TimePoint overTargetSince{};
    double headroomError = 0; ///< Average difference between the gauged and the expected headroom of a serving task.

    /// Whether it may have crashed a worker, so that it starts next on an isolated one.
    bool isSuspect() const
    {
        return std::any_of(crashedRuns.begin(), crashedRuns.end(), [](const CrashedRun &crashed) {
            return !crashed.excused;
        });
    }
};

/// One step of one occurrence.
struct Step
{
    Occurrence *occurrence = nullptr;
    std::uint64_t creationIndex = 0; ///< Number of steps created before this one.
    std::uint32_t number = 0;
    const StepSpec *spec = nullptr;
    std::vector<Task> tasks;
    std::uint32_t tasksLeft = 0; ///< Tasks that are not done.
    std::uint32_t idleTasks = 0; ///< Tasks in phase Idle.
    bool open = false; ///< Its dependencies are done and its occurrence is due.
    bool listed = false; ///< It is in JobTable::openSteps().
    TimePoint waitingSince{}; ///< Since when it has had idle tasks and started none of them; otherwise the epoch.
    TimePoint waitLoggedAt{}; ///< When its wait was last logged; the epoch if it was not.
    TimePoint deferralLoggedAt{}; ///< When a deferred move of one of its tasks was last logged.
    TimePoint noPlaceAt{}; ///< When a search last found no place for one of its tasks; the epoch if none has failed.
    reserve::EndFactor ends; ///< How long its tasks worked, by their estimate.
    ServingTrend trend; ///< Headroom trend under its own load, for serving tasks.
};

/// One run through the steps of a workflow.
struct Occurrence
{
    Job *job = nullptr;
    std::uint32_t number = 0;
    std::vector<Step> steps;
    std::uint32_t stepsLeft = 0;
};

/// Phase of a job, as reported to callers.
enum class JobPhase { Queued, InProgress, Complete, Failed, Cancelled };

/// An accepted workflow.
struct Job
{
    JobId id;
    WorkflowSpec spec;
    std::string account; ///< Client account that it belongs to; empty if it has none.
    bool isExcess = false; ///< The account had submitted more than its rate; see account::RateConformance.
    QueuePolicy policy; ///< Policy of its queue, from the newest catalog that has the queue.
    JobPhase phase = JobPhase::Queued;
    bool phaseDurable = true; ///< The phase is stored in the progress row.
    bool dirty = false; ///< The progress row is out of date.
    bool fromEarlierTerm = false; ///< A coordinator of an earlier term may have started its tasks.
    RowVersion rowVersion = 0; ///< Version of the row that accepted it.
    bool removing = false; ///< Its rows are being removed.
    TimePoint acceptedAt{};
    TimePoint objective{}; ///< A job that completes after this time counts as late.
    TimePoint endedAt{};
    int placedTasks = 0; ///< Number of its tasks that are on a worker.
    int suspects = 0; ///< Number of its tasks for which Task::isSuspect() holds.
    std::uint64_t crashesCounted = 0; ///< Number of changes to Task::crashedRuns.
    std::uint64_t crashesDurable = 0; ///< How many of them are durable.
    TimePoint crashCountedAt{}; ///< When a crash was last counted.
    TimePoint idleSince{}; ///< Since when it has had startable tasks but none on any worker; otherwise the epoch.
    std::uint32_t nextOccurrence = 0; ///< First occurrence that is not yet opened.
    std::uint32_t occurrencesDone = 0;
    std::set<std::uint32_t> doneOccurrences; ///< Occurrences that are done.
    std::map<std::uint32_t, std::unique_ptr<Occurrence>> open; ///< Open occurrences.

    /// Whether it is so late that, by the users' contract, its result is worth nothing.
    bool isUseless(TimePoint now) const
    {
        constexpr int uselessAfterObjectives = 3;
        return now > acceptedAt + uselessAfterObjectives * (objective - acceptedAt);
    }
    bool ended() const
    {
        return phase == JobPhase::Complete || phase == JobPhase::Failed || phase == JobPhase::Cancelled;
    }
};

/// Why the runs on a worker are over.
enum class RunsOver {
    LeaseOver, ///< The lease has expired: the worker may have ended, or be out of reach.
    OtherLife, ///< Another incarnation uses its address.
    NewLife, ///< It has begun another incarnation.
};

/// The end of an incarnation of a worker, or of the time for which its lease let runs go on there.
struct LifeEnd
{
    RunsOver reason = RunsOver::LeaseOver;
    /// The incarnation that answers there now began no earlier, so what was ordered later can't have ended the former
    /// one. Not known by default.
    TimePoint nextBegan = TimePoint::max();
    /// For RunsOver::NewLife: when the question was sent that the next incarnation has answered. It may have carried
    /// out a start since that was answered later.
    TimePoint askedAt = TimePoint::max();
};

/// State of the contact with a worker.
enum class WorkerContact {
    Unadopted, ///< It has not yet answered in this term: orders of earlier terms may still reach it.
    Adopted, ///< It has reported its runs in this term.
    Silent, ///< It was adopted, but does not answer at present.
    Lost, ///< It has not answered for longer than its lease, so nothing runs there.
};

/// Whether a start order may still be carried out.
enum class StartOrderState {
    Pending, ///< It has been sent, and its call has not ended.
    Unanswered, ///< Its call ended without an answer: it may have been carried out, or may still be.
    Settled, ///< It was answered, or its run was seen, so it can't be carried out again.
};

/// A run on a worker that is not the current run of its task: a later one has superseded it, its job may have ended, or
/// its worker has begun another life or fallen silent while its start order was under way.
struct EarlierRun
{
    EarlierRun() = default;
    EarlierRun(TaskKey key, RunNumber number)
        : task(std::move(key))
        , run(number)
    {
    }

    TaskKey task;
    RunNumber run = 0;
    Resources reserved; ///< What it keeps reserved on the worker.
    std::string account; ///< Client account of its job.
    Resources declared; ///< What it counts for in the limits of that account.
    bool isAttributed = false; ///< Its job is known, and with it these.
    StartOrderState startOrder = StartOrderState::Settled;
    TimePoint orderedAt{}; ///< When this term sent that order; the epoch if it sent none.
    /// When its state last changed: an answer to a question sent before says nothing of it.
    TimePoint changedAt{};
    /// When it was first listed while its job was not in the tables, as time since boot; otherwise zero.
    Duration listedWithoutJobAt{0};
    bool stopSent = false; ///< A stop order for it has been sent to the known incarnation and not answered yet.
    bool stopConfirmed = false; ///< The known incarnation of the worker has confirmed a stop, so it refuses the start.
};

/// A run whose end has been applied to the tables and is not durable yet.
struct PendingEnd
{
    std::uint64_t number = 0; ///< EndedRun::number.
    TaskKey task;
    RunNumber run = 0;
};

/// Wait of a worker that refuses starts for lack of room although the tables show room. After the wait it gets one
/// start at a time. It is over when the worker's capacity changes, a run on it ends, or a start succeeds there.
struct RoomBackoff
{
    int refusals = 0; ///< Refusals since, not counting those of starts that were sent before the wait began.
    TimePoint until{}; ///< No starts before this time.
};

/// What is known of one incarnation of a worker. Another incarnation holds none of its runs and counts and measures
/// anew, so all of this changes together; see FleetTable::beginLife().
struct WorkerLife
{
    std::int64_t incarnation = 0; ///< Incarnation in its last answer; 0 before the first.
    WorkerTime clock{0}; ///< The worker's clock at clockAt.
    TimePoint clockAt{}; ///< When the answer with that clock was received.
    WorkerTime latestLeaseUntil{0}; ///< Latest lease end in any order, on the worker's clock.
    TimePoint leaseExpiresAt{}; ///< When that lease has certainly expired.
    bool hasListedAll = false; ///< It has answered with complete lists of its runs.
    bool endsCut = false; ///< Its last answer had not all its ends.
    std::uint64_t endsApplied = 0; ///< Number of the last run end that was applied to the tables.
    std::uint64_t endsDurable = 0; ///< Number of the last run end that is durable.
    std::uint64_t endsAcknowledged = 0; ///< Number of the last run end that was acknowledged to the worker.
    /// Runs that ended after endsDurable. The record names them with the runs at work: the next coordinator may have to
    /// learn of their ends from the worker.
    std::vector<PendingEnd> pendingEnds;
    TimePoint blockedUntil{}; ///< No starts before this time.
    RoomBackoff roomBackoff;
    int unansweredCalls = 0;
    int consecutiveFailures = 0; ///< Failed runs since the last successful one.
    std::set<JobId> failedJobs; ///< Jobs of the consecutive failures.
    std::int64_t formerIncarnation = 0; ///< What the list named when this one answered.
    /// There are signs of another incarnation, so it gets no starts and no lease until its next answer.
    bool isDoubted = false;
    TimePoint doubtedAt{}; ///< When the latest of them was seen.
};

/// One worker, by id.
struct Worker
{
    WorkerId id;
    WorkerEntry entry;
    bool listed = true; ///< It is in the list of workers.
    TimePoint unlistedAt{};
    WorkerContact contact = WorkerContact::Unadopted;
    WorkerLife life;
    Resources used; ///< Reserved by its tasks in any phase; fillers reserve no processor time.
    double busyMilliCores = 0; ///< Expected processor use of its tasks, fillers at their pace.
    /// Share of its processors that fillers declare, scaled by their pace, by image.
    std::map<std::string, double> fillerLoad;
    std::map<std::string, int> servingImages; ///< Number of serving tasks on it, by image.
    std::map<Step *, int, CreationOrder> servingSteps; ///< Number of serving tasks on it, by step.
    TaskSet tasks; ///< Tasks on it, in any phase but Idle and Done.
    /// Runs on it that have to end before their tasks start again; see FleetTable::addEarlierRun().
    std::vector<EarlierRun> earlierRuns;
    bool observationPending = false; ///< An observation has been sent and not yet answered.
    TimePoint lastAnswerAt{}; ///< When its last answer to any order was received.
    TimePoint failedAt{}; ///< The last answer before it last ended without notice; the epoch if it never did.
    std::int64_t failedIncarnation = 0; ///< The incarnation that did.
    JobId isolatedFor; ///< Only this job may start runs here, because one of its tasks is a suspect; empty if any may.
    TimePoint isolatedAt{}; ///< Since when.
    std::vector<std::pair<TaskKey, RunNumber>> crashedRuns; ///< Runs for which that was counted.
    TimePoint observedAt{}; ///< When the last observation was answered or timed out.
    CandidateIndex *candidates = nullptr; ///< The index that it is in; to be updated with its load.
    account::AccountUsage *usage = nullptr; ///< What tasks on all workers reserve, by account.
    RecordPart *recordPart = nullptr; ///< The part of the durable record that names it.
    bool recorded = false; ///< It is in the durable list of workers that may run something.
    /// It was in that list when this term began. Earlier coordinators start runs on no other workers.
    bool recordedInEarlierTerm = false;
    bool recordNamesRuns = false; ///< That list names all runs that it may have; it has got no starts since.
    /// When its lease has certainly expired, on the table service's clock; zero unless namesLeaseEnd() holds.
    Milliseconds leaseEndForRecord{0};
    /// The record names that time, so its lease is not extended.
    bool recordNamesLeaseEnd = false;
    TimePoint nextObservationAt{}; ///< No observation before this time.
    /// It is reserved for the step with this Step::creationIndex; see Reservations.
    std::optional<std::uint64_t> heldForStep;
    bool isHeldForLongRunning = false; ///< That step is a long-running one.
    /// Others may start here if this leaves them room or time; without it, none may.
    std::optional<reserve::Reservation> reservation;
    TimePoint overcommittedAt{}; ///< When it last got a filler for which it lacks headroom.
    TimePoint overTargetSince{}; ///< Since when a serving task on it has been over its target; the epoch if none is.
    TimePoint modelUpdatedAt{}; ///< When the interference model was last updated with its gauges.
};

inline bool CreationOrder::operator()(const Step *a, const Step *b) const
{
    return a->creationIndex < b->creationIndex;
}

inline bool CreationOrder::operator()(const Task *a, const Task *b) const
{
    return a->step == b->step ? a->index < b->index : a->step->creationIndex < b->step->creationIndex;
}

/// The pace of @p task in percent; an unknown pace may be any, so it counts as full.
inline int expectedPace(const Task &task)
{
    return task.pace == unknownPace ? fullPace : task.pace;
}

inline TaskKey keyOf(const Task &task)
{
    const Occurrence *occurrence = task.step->occurrence;
    return TaskKey{occurrence->job->id, occurrence->number, task.step->number, task.index};
}

} // namespace fescueledge::workflow
