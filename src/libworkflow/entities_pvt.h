#pragma once

#include "fescueledge/workflow/catalog.h"
#include "fescueledge/workflow/workergateway.h"
#include "fescueledge/workflow/workflowspec.h"
#include "servingtrend_pvt.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// The entities that a coordinator keeps in tables; systems work on them.
namespace fescueledge::workflow {

struct Worker;
struct Task;
struct Step;
struct Occurrence;
struct Job;

/// Orders steps and tasks by when they were opened, so that equal runs take equal decisions.
struct CreationOrder
{
    bool operator()(const Step *a, const Step *b) const;
    bool operator()(const Task *a, const Task *b) const;
};

using TaskSet = std::set<Task *, CreationOrder>;

/// Where a task stands.
enum class TaskPhase {
    Idle, ///< Not on any worker.
    Starting, ///< The order to start it is on its way.
    Uncertain, ///< That order was not answered: it may run, or may start to.
    Running,
    Stopping, ///< An order to stop it was sent; it holds its room until its end is known.
    Done,
};

constexpr int fullPace = 100; ///< Percent.
/// Below this a filler is better stopped from working.
constexpr int minPace = 10;
/// Pace of a run whose last order was not answered, or that an earlier coordinator ordered.
constexpr int unknownPace = -1;

/// One task of a step.
struct Task
{
    Step *step = nullptr;
    std::uint32_t index = 0;
    TaskPhase phase = TaskPhase::Idle;
    Worker *worker = nullptr; ///< Set in all phases but Idle and Done.
    RunNumber run = 0; ///< Highest run number used so far.
    std::vector<RunNumber> failedRuns; ///< Its runs that failed; each counts once, however often it is reported.
    std::string checkpoint;
    TimePoint phaseSince{}; ///< When the phase began.
    bool seenOnWorker = false; ///< The run was seen on its worker: the order to start it is no longer on its way.
    bool stopConfirmed = false; ///< The worker has answered the order to stop the run: it refuses a late start.
    int percent = 0; ///< As the worker reports it.
    TimePoint progressAt{}; ///< When the percentage last changed.
    std::int64_t gauge = 0; ///< As the worker reports it, see ActiveRun.
    int pace = fullPace; ///< Speed last ordered, in percent, or unknownPace.
    TimePoint pacedAt{}; ///< When that order was sent.
    TimePoint latePaceOrdersUntil{}; ///< Until when an earlier order that was not answered may still be carried out.
    TimePoint pausedSince{}; ///< Since when a filler has been kept from working; the epoch if it is not.
    TimePoint slowSince{}; ///< Since when a filler has been held at a low pace; the epoch if it is not.
    TimePoint overTargetSince{}; ///< Since when a serving task's tail is over its target; the epoch if it is not.
    double headroomError = 0; ///< By how much a serving task's headroom differs from what is expected, on average.
};

/// One step of one occurrence.
struct Step
{
    Occurrence *occurrence = nullptr;
    std::uint64_t creationIndex = 0; ///< How many steps had been made before.
    std::uint32_t number = 0;
    const StepSpec *spec = nullptr;
    std::vector<Task> tasks;
    std::uint32_t tasksLeft = 0; ///< Tasks that are not done.
    std::uint32_t idleTasks = 0; ///< Tasks in phase Idle.
    bool open = false; ///< Its dependencies are done and its time has come.
    bool listed = false; ///< It stands in JobTable::openSteps().
    TimePoint waitingSince{}; ///< Since when it has had idle tasks and started none; the epoch if it has not.
    TimePoint waitLoggedAt{}; ///< When it was last logged that it waits; the epoch if it was not.
    ServingTrend trend; ///< Of its own load, if its tasks serve.
};

/// One run through the steps of a workflow.
struct Occurrence
{
    Job *job = nullptr;
    std::uint32_t number = 0;
    std::vector<Step> steps;
    std::uint32_t stepsLeft = 0;
};

/// What callers see of a job.
enum class JobPhase { Queued, InProgress, Complete, Failed, Cancelled };

/// A workflow that was accepted.
struct Job
{
    JobId id;
    WorkflowSpec spec;
    QueuePolicy policy; ///< Of its queue, as of the newest catalog that has the queue.
    JobPhase phase = JobPhase::Queued;
    bool phaseDurable = true; ///< The progress row says so too.
    bool dirty = false; ///< The progress row is behind.
    bool fromEarlierTerm = false; ///< Another coordinator may have started its tasks, in an earlier term.
    RowVersion rowVersion = 0; ///< Of the row that accepted it.
    bool removing = false; ///< Its rows are being removed.
    TimePoint acceptedAt{};
    TimePoint objective{}; ///< Done later than this counts as late.
    TimePoint endedAt{};
    int placedTasks = 0; ///< Its tasks that are on a worker.
    TimePoint idleSince{}; ///< Since when it could run something and has nothing on any worker; else the epoch.
    std::uint32_t nextOccurrence = 0; ///< First one not yet opened.
    std::uint32_t occurrencesDone = 0;
    std::set<std::uint32_t> doneOccurrences; ///< Occurrences done of those that were open when the row was written.
    std::map<std::uint32_t, std::unique_ptr<Occurrence>> open; ///< Occurrences under way.

    bool ended() const
    {
        return phase == JobPhase::Complete || phase == JobPhase::Failed || phase == JobPhase::Cancelled;
    }
};

/// How a worker stands with this coordinator.
enum class WorkerContact {
    Unadopted, ///< It has not yet answered under this term: older orders may still reach it.
    Adopted, ///< Its list under this term is known.
    Silent, ///< It was adopted and does not answer now.
    Lost, ///< It has not answered for longer than its lease: nothing runs there.
};

/// One worker, by id.
struct Worker
{
    WorkerId id;
    WorkerEntry entry;
    bool listed = true; ///< It stands in the list of workers.
    TimePoint unlistedAt{};
    WorkerContact contact = WorkerContact::Unadopted;
    std::int64_t incarnation = 0; ///< As of its last answer; 0 before the first.
    WorkerTime clock{0}; ///< Its clock ...
    TimePoint clockAt{}; ///< ... at this time of ours: the answer that carried it.
    WorkerTime latestLeaseUntil{0}; ///< Latest lease in any order, on its clock.
    TimePoint leaseExpiresAt{}; ///< By then that lease has passed for certain.
    Resources used; ///< By tasks that are not fillers, whatever their phase; memory includes fillers.
    double busyMilliCores = 0; ///< What its tasks are expected to use of the processors, fillers at their pace.
    std::map<std::string, double>
        fillerLoad; ///< Share of its processors that fillers declare, at their pace, by image.
    std::map<std::string, int> servingImages; ///< Serving tasks on it, by image.
    std::map<Step *, int, CreationOrder> servingSteps; ///< The same by step.
    TaskSet tasks; ///< On it, in any phase but Idle and Done.
    std::uint64_t endsApplied = 0; ///< Number of the last end taken into the tables.
    std::uint64_t endsDurable = 0; ///< Number of the last end that is durable.
    std::uint64_t endsAcknowledged = 0; ///< Number last sent to the worker.
    bool observationPending = false; ///< An observation is on its way.
    TimePoint observedAt{}; ///< When the last one was answered or given up.
    bool recorded = false; ///< It stands in the durable list of workers that may run something.
    bool recordedInEarlierTerm =
        false; ///< It stood in that list when this term began: earlier ones start nothing elsewhere.
    bool recordNamesRuns = false; ///< That list names all that it may run: it got no starts since.
    TimePoint nextObservationAt{}; ///< No observation before this time.
    TimePoint blockedUntil{}; ///< No starts before this time.
    int consecutiveFailures = 0; ///< Failed runs since the last that was done.
    int unansweredCalls = 0;
    std::set<JobId> failedJobs; ///< Jobs of those runs.
    TimePoint overcommittedAt{}; ///< When it last got a filler that counts as harmful there.
    TimePoint overTargetSince{}; ///< Since when a serving task on it has been over its target; the epoch if none is.
    TimePoint modelUpdatedAt{}; ///< When the interference model last took in its gauges.
};

inline bool CreationOrder::operator()(const Step *a, const Step *b) const
{
    return a->creationIndex < b->creationIndex;
}

inline bool CreationOrder::operator()(const Task *a, const Task *b) const
{
    return a->step == b->step ? a->index < b->index : a->step->creationIndex < b->step->creationIndex;
}

/// The pace of @p task, in percent; an unknown one may be any, so it counts as full.
inline int expectedPace(const Task &task)
{
    return task.pace == unknownPace ? fullPace : task.pace;
}

/// The key of @p task.
inline TaskKey keyOf(const Task &task)
{
    const Occurrence *occurrence = task.step->occurrence;
    return TaskKey{occurrence->job->id, occurrence->number, task.step->number, task.index};
}

} // namespace fescueledge::workflow
