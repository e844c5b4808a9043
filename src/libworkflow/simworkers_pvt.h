#pragma once

#include "fescueledge/random.h"
#include "fescueledge/workflow/fleetsource.h"
#include "fescueledge/workflow/workergateway.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace fescueledge {
class SimWorld;
}

namespace fescueledge::workflow {

/// A fleet of simulated workers in virtual time, with the rules that real ones follow: fencing by term, leases on
/// their own clocks, lists of what runs and what has ended. It notes every run, so that tests can check them.
class SimWorkers
{
public:
    /// One run that a worker began.
    struct RunRecord
    {
        TaskKey task;
        RunNumber run = 0;
        Term term = 0; ///< Of the coordinator that started it.
        WorkerId worker;
        TimePoint began{};
        TimePoint endsAt{}; ///< When it will be done or fail by itself, at its present pace.
        Duration workLeft{0}; ///< Work that is left while its pace is 0, as time at full pace.
        TimePoint ended{}; ///< The epoch while it runs.
        RunEnd how = RunEnd::Done;
        bool acknowledged = false; ///< Somebody has taken note of its end.
        bool lapsedBeforeAcknowledged = false; ///< The worker's lease passed between its end and its acknowledgement.
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
        TimePoint lapsedAt{}; ///< When its lease passed last; the epoch if it never did.
        std::map<std::string, std::size_t> active; ///< Task name to its record.
        std::map<std::string, RunNumber> lastRun; ///< Runs up to this number are refused.
        std::vector<EndedRun> ends;
        std::uint64_t endCount = 0;
        bool failsAll = false;
    };

    explicit SimWorkers(SimWorld *world);

    SimWorker *add(const WorkerId &id, const DataCentreId &dataCentre, const std::string &rack,
                   const Resources &capacity);
    SimWorker *find(const WorkerId &id);
    /// Kills a worker and all it runs; it stays listed until unlist().
    void crash(const WorkerId &id);
    /// Starts a crashed worker again, in a new life.
    void restart(const WorkerId &id);
    void unlist(const WorkerId &id);
    void setDraining(const WorkerId &id);

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
    /// Tasks of which two runs overlapped, or one began although another was done and somebody has taken note of it.
    /// A run that was done unseen behind a cut, and whose lease has passed, may be repeated.
    std::vector<std::string> tasksRunTwice();
    /// Ends the runs whose time has come, so that the records are as of now.
    void settleAll();
    std::vector<WorkerEntry> listed() const;

    /// How long a run works; fails if the second is true. By default 100 ms, never failing.
    std::function<std::pair<Milliseconds, bool>(const TaskKey &)> workOf;
    Duration paceDelay{0}; ///< An order to change the pace takes effect so long after its answer.
    /// What the gauge of a run shows.
    std::function<std::int64_t(const SimWorker &, const RunRecord &)> gaugeOf;
    /// How long a run works that begins by an order; as workOf says if it is not set.
    std::function<Milliseconds(const StartOrder &)> workLeft;
    /// Whether a worker guards its capacity and has no room for an order; it always has room if it is not set.
    std::function<bool(const SimWorker &, const StartOrder &)> lacksRoom;
    /// The progress that a run has saved; none if it is not set.
    std::function<std::string(const SimWorker &, const RunRecord &)> checkpointOf;
    /// Called when the list of workers has changed.
    std::vector<std::function<void(const FleetNews &)>> listeners;

private:
    WorkerTime clockOf(const SimWorker &worker) const;
    void settle(SimWorker *worker);
    void acknowledge(SimWorker *worker, std::uint64_t number);
    void end(SimWorker *worker, std::size_t index, RunEnd how);
    void announce(const WorkerEntry &entry);
    void changePace(RunRecord *record, int percent);

    SimWorld *m_world;
    std::map<WorkerId, SimWorker> m_workers;
    std::set<WorkerId> m_unlisted;
    std::vector<RunRecord> m_runs;
    std::int64_t m_incarnations = 0;
};

} // namespace fescueledge::workflow
