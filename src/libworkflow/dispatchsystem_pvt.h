#pragma once

#include "accountgate_pvt.h"
#include "context_pvt.h"
#include "reservations_pvt.h"

#include <map>
#include <optional>

namespace fescueledge::workflow {

class CrashLedger;
class ObservationSystem;
class OrderSystem;
class Placement;
struct Place;

/// Decides which idle task starts next, and on which worker.
class DispatchSystem
{
public:
    DispatchSystem(std::shared_ptr<Context> context, OrderSystem *orders, Placement *placement,
                   const ObservationSystem *observations, CrashLedger *crashes);

    /// Starts tasks that can be started now, at most @p maxStarts; returns true if there may be more. The next run
    /// ranks all steps again, so more urgent work that arrives in between goes first.
    bool run(std::uint64_t maxStarts);
    /// Whether tasks of @p step may be started now, provided that a worker fits.
    static bool mayStart(const Step &step, bool earlierRunsKnown);
    /// Brings the limits of accounts up to date between runs.
    void updateAccounts()
    {
        m_accounts.update();
    }
    /// The limits of accounts, as of the last run.
    const AccountGate &accounts() const
    {
        return m_accounts;
    }

private:
    /// How urgent a step is; smaller goes first.
    struct Rank
    {
        /// -1 long-running and waiting for too long, 0 urgent and in time, 1 long-running, 2 other in time, 3 late or
        /// excess, 4 too late to be of use.
        int group = 0;
        /// Work that its account has submitted beyond its rate goes after that of others.
        bool isExcess = false;
        /// Of excess work, the weighted share of all workers that its account uses; otherwise 0.
        double share = 0;
        int priority = 0;
        TimePoint objective;

        bool operator<(const Rank &other) const;
    };

    Rank rankOf(const Step &step, TimePoint now) const;
    /// Starts tasks by rank; returns whether @p limit ended it.
    bool startInOrder(const std::vector<std::pair<Rank, Step *>> &ranked, std::uint64_t limit);
    /// Starts tasks of @p step until OrderSystem::startsSent reaches @p limit.
    void startStep(Step *step, std::uint64_t limit);
    /// Whether an earlier run of @p task may still be on some worker.
    bool isAwaited(const Task &task) const;
    /// Starts the suspects of @p step on the worker that is isolated for its job.
    void startSuspects(Step *step, std::uint64_t limit);
    /// That worker if it can take a task of @p step. If there is none, one is isolated.
    Worker *isolatedWorker(const Step &step);
    void startGang(Step *step);
    /// Reserves workers for tasks that find no room.
    void holdWorkers(const std::vector<std::pair<Rank, Step *>> &ranked);
    /// Since when a task of @p step has waited that should have started by now; empty if there is none.
    std::optional<TimePoint> starvedSince(const Step &step) const;
    /// Starts a few tasks of jobs that have waited long with nothing at work, whatever their rank. Without it, a
    /// backlog that the coordinator does not keep up with would hold up the last in rank for good.
    void startStarved(const std::vector<std::pair<Rank, Step *>> &ranked, std::uint64_t limit);
    void startOn(Task *task, const Place &place);

    std::shared_ptr<Context> m_context;
    OrderSystem *m_orders;
    Placement *m_placement;
    double m_fleetMilliCores = 0; ///< Capacity of all workers.
    const ObservationSystem *m_observations;
    CrashLedger *m_crashes;
    AccountGate m_accounts;
    Reservations m_reservations;
    bool m_startsRanOut = false; ///< The last run ended because of its limit, not because nothing more fitted.
    std::uint64_t m_startsCounted = 0; ///< Starts that are counted in m_startsForStarved.
    std::uint64_t m_startsForStarved = 0; ///< Starts by rank of which startStarved() may use a share.
};

} // namespace fescueledge::workflow
