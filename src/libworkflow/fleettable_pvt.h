#pragma once

#include "candidateindex_pvt.h"
#include "entities_pvt.h"
#include "recordpart_pvt.h"

#include <array>
#include <functional>

namespace fescueledge::workflow {

/// Maximum relative difference between the clock rates of two VMs.
constexpr double clockDrift = 0.02;
/// Added to computed lease ends to allow for late timers and answers.
constexpr Milliseconds leaseMargin{100};

/// The workers, the tasks on them, and the ends of their leases.
///
/// The run of a task with the highest number that was seen is its current run. Any other run of it that is known,
/// wherever it is, has to be over before the task starts again: its end was listed, it was missing in a later list, its
/// worker began another life, or its lease has certainly expired.
class FleetTable
{
public:
    /// Adds the worker or updates its entry.
    Worker *upsert(const WorkerEntry &entry, TimePoint now);
    Worker *find(const WorkerId &id) const;
    void erase(const WorkerId &id);
    static void setContact(Worker *worker, WorkerContact contact);
    /// To be called after a change of what the record names of @p worker.
    static void markRecordChanged(Worker *worker);
    /// Records that @p worker is no longer in the list of workers.
    static void setUnlisted(Worker *worker, TimePoint now);
    /// Records that @p end of a run on @p worker has been applied to the tables, and is not durable yet.
    static void addPendingEnd(Worker *worker, const EndedRun &end);
    /// Records that the ends on @p worker up to number @p number are durable.
    static void setEndsDurable(Worker *worker, std::uint64_t number);
    /// Replaces what is known of the former incarnation of @p worker, because @p incarnation has answered. Orders may
    /// have given that a lease of up to @p lease until @p now.
    static void beginLife(Worker *worker, std::int64_t incarnation, Milliseconds lease, TimePoint now);
    /// The earliest time at which an incarnation can have begun whose clock showed @p clock in an answer received at
    /// @p now; the latest time there is if the answer had no clock. Clocks begin at 0 with each incarnation.
    static TimePoint earliestBegin(WorkerTime clock, TimePoint now);

    /// Assigns @p task to @p worker, whatever its phase; release() undoes it.
    static void place(Task *task, Worker *worker);
    static void release(Task *task);
    /// Sets the pace of @p task and updates the load of its worker.
    static void setPace(Task *task, int pace);

    /// Records that @p run, which is not the current run of its task, is on @p worker, or may get there. While it is,
    /// isAwaited() holds for the task. What it reserves and its account are set from @p step; they are not
    /// known if that is nullptr. A known run becomes settled if @p run is.
    void addEarlierRun(Worker *worker, EarlierRun run, const Step *step);
    /// Forgets that earlier run, if it is known; false if it is not.
    bool dropEarlierRun(Worker *worker, const TaskKey &task, RunNumber run);
    /// The earlier run @p run of @p task on @p worker; nullptr if there is none.
    static EarlierRun *findEarlierRun(Worker *worker, const TaskKey &task, RunNumber run);
    /// Forgets the earlier runs on @p worker for which @p isOver holds; false if there are none.
    bool dropEarlierRuns(Worker *worker, const std::function<bool(const EarlierRun &)> &isOver);
    /// Whether an earlier run of any task may still be on some worker.
    bool awaitsRuns() const
    {
        return !m_awaited.empty();
    }
    /// Whether an earlier run of @p task may still be on some worker.
    bool isAwaited(const TaskKey &task) const
    {
        return m_awaited.count(task) > 0;
    }

    /// Capacity that a task of @p step reserves on a worker; a filler reserves no processor time.
    static Resources reservedBy(const StepSpec &step);
    /// Whether a task of @p step fits on @p worker beside the tasks there.
    static bool hasRoom(const Worker &worker, const StepSpec &step);
    /// Number of tasks of @p step on @p worker.
    static std::uint32_t countOf(const Worker &worker, const Step &step);

    /// Sets the worker's clock from an answer received at @p now.
    static void setClock(Worker *worker, WorkerTime clock, TimePoint now);
    /// Whether @p clock, in an answer received at @p now, is so far behind the clock of the known incarnation that
    /// another one seems to have answered.
    static bool isOfOtherLife(const Worker &worker, WorkerTime clock, TimePoint now);
    /// Estimate of the worker's clock at @p now, or a little less.
    static WorkerTime clockAt(const Worker &worker, TimePoint now);
    /// Time after which a lease of length @p lease that was given now has certainly expired.
    static Duration longestLease(Milliseconds lease);
    /// Records that an order with lease end @p leaseUntil is sent.
    static void recordLease(Worker *worker, WorkerTime leaseUntil);
    /// Records that another coordinator may have sent a lease of length @p lease at any time until @p now.
    static void recordForeignLease(Worker *worker, Milliseconds lease, TimePoint now);

    /// What the tasks and earlier runs on all workers count for in the limits of their accounts.
    const account::AccountUsage &usage() const
    {
        return m_usage;
    }
    /// Number of earlier runs whose account is not known.
    std::size_t unattributedRuns() const
    {
        return m_unattributedRuns;
    }

    const std::map<WorkerId, std::unique_ptr<Worker>> &all() const
    {
        return m_workers;
    }

    CandidateIndex &candidates()
    {
        return m_candidates;
    }
    /// The parts of the durable record of workers, in which each worker has a fixed place.
    std::array<RecordPart, recordPartCount> &recordParts()
    {
        return m_recordParts;
    }

private:
    std::map<WorkerId, std::unique_ptr<Worker>> m_workers;
    CandidateIndex m_candidates;
    account::AccountUsage m_usage;
    std::size_t m_unattributedRuns = 0;
    std::array<RecordPart, recordPartCount> m_recordParts;
    std::map<TaskKey, int> m_awaited; ///< Number of earlier runs of a task, on all workers.
};

} // namespace fescueledge::workflow
