#pragma once

#include "fescueledge/random.h"
#include "fescueledge/workflow/fleetsource.h"
#include "fescueledge/workflow/workergateway.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fescueledge {
class SimWorld;
}

namespace fescueledge::workflow {

/// A fleet of simulated workers in virtual time that follow the rules of real ones: fencing by term, leases on their
/// own clocks, lists of active and ended runs. It records every run, so that tests can check them.
class SimWorkers
{
public:
    /// One run that a worker has started.
    struct RunRecord
    {
        TaskKey task;
        RunNumber run = 0;
        Term term = 0; ///< Term of the coordinator that started it.
        WorkerId worker;
        TimePoint began{};
        TimePoint endsAt{}; ///< When it will complete or fail at its current pace.
        Duration workLeft{0}; ///< Remaining work while its pace is 0, as time at full pace.
        TimePoint ended{}; ///< The epoch while it runs.
        RunEnd how = RunEnd::Done;
        bool acknowledged = false; ///< A coordinator has acknowledged its end.
        bool lapsedBeforeAcknowledged = false; ///< The worker's lease expired between its end and the acknowledgement.
        int pace = 100;
        std::string checkpoint; ///< Given with the start.
        std::string payload;
    };

    /// One worker.
    struct SimWorker
    {
        WorkerEntry entry;
        bool up = true;
        std::set<NodeId> cutFrom; ///< Nodes that can't reach it.
        TimePoint startedAt{};
        Term highestTerm = 0;
        WorkerTime leaseUntil{0};
        TimePoint lapsedAt{}; ///< When its lease last expired; the epoch if it never has.
        /// Index of the run record by task name and run: a worker may have several runs of a task.
        std::map<std::pair<std::string, RunNumber>, std::size_t> active;
        std::map<std::string, RunNumber> lastRun; ///< By task name; runs up to this number are refused.
        std::vector<EndedRun> ends;
        std::uint64_t endCount = 0;
        bool failsAllRuns = false;
    };

    explicit SimWorkers(SimWorld *world);

    SimWorker *add(const WorkerId &id, const DataCentreId &dataCentre, const std::string &rack,
                   const Resources &capacity);
    SimWorker *find(const WorkerId &id);
    /// Kills a worker and all its runs; it stays listed until unlist().
    void crash(const WorkerId &id);
    /// Restarts a crashed worker as a new incarnation. Its entry in the list changes only if @p isAnnounced.
    void restart(const WorkerId &id, bool isAnnounced = true);
    void unlist(const WorkerId &id);
    /// Lists a worker again, as it is now.
    void list(const WorkerId &id);
    void setDraining(const WorkerId &id);
    /// Changes the capacity of a running worker; its runs go on.
    void setCapacity(const WorkerId &id, const Resources &capacity);

    OrderResult start(const WorkerId &id, const StartOrder &order);
    OrderResult stop(const WorkerId &id, const TaskKey &task, RunNumber run, Term term);
    OrderResult pace(const WorkerId &id, const TaskKey &task, RunNumber run, int percent, Term term);
    Observation observe(const WorkerId &id, const ObserveOrder &order);

    const std::vector<RunRecord> &runs() const
    {
        return m_runs;
    }
    /// Runs of @p job so far.
    std::vector<RunRecord> runsOf(const JobId &job) const;
    /// Tasks of which two runs overlapped, or one started after another was done and acknowledged. A run that was done
    /// on an unreachable worker without an acknowledgement, and whose lease has expired, may be repeated.
    std::vector<std::string> tasksRunTwice();
    /// Ends the runs that are due, so that the records are up to date.
    void settleAll();
    std::vector<WorkerEntry> listed() const;

    /// How long a run works, and whether it then fails. By default 100 ms without a failure.
    std::function<std::pair<Milliseconds, bool>(const TaskKey &)> workOf;
    Duration paceDelay{0}; ///< Delay between the answer to a pace order and its effect.
    Duration stopDelay{0}; ///< The same for stop orders; the run stays listed as active meanwhile.
    Duration startupTime{0}; ///< From the start of a run until it is at work.
    /// The gauge of a run.
    std::function<std::int64_t(const SimWorker &, const RunRecord &)> gaugeOf;
    /// The progress that a run reports in percent once it has started up; if it is not set, 100.
    std::function<int(const SimWorker &, const RunRecord &)> percentOf;
    /// Work that is left of a run, as time at full pace.
    Duration workLeft(const RunRecord &record) const;
    /// How long a run that an order starts works; if it is not set, workOf decides.
    std::function<Milliseconds(const StartOrder &)> workForOrder;
    /// Whether a worker that enforces its capacity has no room for an order; if it is not set, there is always room.
    std::function<bool(const SimWorker &, const StartOrder &)> lacksRoom;
    /// The checkpoint that a run has saved; if it is not set, there is none.
    std::function<std::string(const SimWorker &, const RunRecord &)> checkpointOf;
    /// Whether a run of this task crashes its worker; the worker is back, as a new incarnation, after downTime.
    std::function<bool(const TaskKey &)> crashesWorker;
    Duration crashDelay{std::chrono::milliseconds(10)}; ///< From the start of such a run.
    Duration downTime{std::chrono::seconds(3)};
    /// Whether the first order of each node to a new incarnation goes out on the connection to the former one, and gets
    /// no answer.
    bool connectionsOutliveCrashes = false;
    /// Whether a start that is under way reaches only the incarnation that it is for, as the platform's client has it;
    /// otherwise it reaches any. See WorkflowWorld::delayStarts().
    bool bindsDelayedStarts = false;
    /// Whether an acknowledgement reaches only the incarnation that it is for, as the platform's client has it.
    bool bindsAcknowledgements = true;
    std::size_t maxListedEnds = 500; ///< A worker lists at most this many ends at a time.
    Milliseconds maxLease{10000}; ///< A longer lease is shortened to this.
    /// Called when the list of workers has changed.
    std::vector<std::function<void(const FleetUpdate &)>> listeners;

private:
    WorkerTime clockOf(const SimWorker &worker) const;
    void extendLease(SimWorker *worker, WorkerTime until) const;
    void settle(SimWorker *worker);
    void acknowledge(SimWorker *worker, std::uint64_t number);
    void end(SimWorker *worker, std::size_t index, RunEnd how);
    void announce(const WorkerEntry &entry);
    /// Crashes worker @p id after crashDelay.
    void crashSoon(const WorkerId &id);
    void changePace(RunRecord *record, int percent);

    SimWorld *m_world;
    std::map<WorkerId, SimWorker> m_workers;
    std::set<WorkerId> m_unlisted;
    std::map<WorkerId, WorkerEntry> m_staleEntries; ///< Entries that do not show the latest restart yet.
    std::vector<RunRecord> m_runs;
    std::int64_t m_incarnations = 0;
};

} // namespace fescueledge::workflow
