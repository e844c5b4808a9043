#pragma once

#include "context_pvt.h"
#include "dispatchbudget_pvt.h"
#include "dispatchsystem_pvt.h"
#include "fescueledge/watchabletable.h"
#include "fescueledge/workflow/collectionfollower.h"
#include "fescueledge/workflow/fleetsource.h"
#include "leasekeeper_pvt.h"
#include "observationsystem_pvt.h"
#include "ordersystem_pvt.h"
#include "pacingsystem_pvt.h"
#include "placement_pvt.h"
#include "progresswriter_pvt.h"
#include "termloader_pvt.h"
#include "waitreport_pvt.h"

#include <optional>

namespace fescueledge::workflow {

/// What a new term starts from.
struct TermStart
{
    Term term = 0;
    RowVersion chainVersion = 0;
    std::string chainValue; ///< Value of the coordinator's row.
};

/// Coordinates all workflows during one term: accepted jobs in, orders to workers out.
class Coordinator
{
public:
    Coordinator(std::shared_ptr<Context> context, WatchableTable *table, FleetSource *fleet, const TermStart &start,
                std::uint64_t seed);
    ~Coordinator();
    Coordinator(const Coordinator &) = delete;
    Coordinator &operator=(const Coordinator &) = delete;

    /// What callers are told of job @p id: only what is durable. Nothing if the job is not known (yet).
    std::optional<JobPhase> status(const JobId &id) const;
    /// Nothing before all accepted jobs are loaded.
    std::optional<std::size_t> pending(const std::string &queue) const;
    void setCatalog(const Catalog *catalog);
    /// Takes a job from the node that accepted it, without waiting for the watch. Its row is @p value at @p version.
    void handleAcceptedJob(const JobId &id, const std::string &value, RowVersion version);
    /// The same for a request to cancel a job.
    void handleCancellation(const JobId &id);
    /// How long a write has been waiting for the store's answer.
    Duration pendingWriteAge() const
    {
        return m_writer.pendingWriteAge();
    }
    /// Called with whether the store answers.
    void setStoreContactHandler(std::function<void(bool)> handler);
    Term term() const
    {
        return m_context->term;
    }

private:
    void followJobs();
    void onJobRows(const std::vector<Row> &rows);
    void onJobChanges(const std::vector<WatchResult::Change> &changes);
    void applyTermState(TermState state);
    /// Begins the work when everything from before the term is there.
    void startIfLoaded();
    void applyJobRow(const Row &row);
    void cancel(const JobId &id);
    void onJobsLoaded();
    void restoreRecordedWorkers(const std::string &record);
    void onFleetUpdate(const FleetNews &news);
    void reportStoreContact(bool reachable);
    void tick();
    void removeExpiredJobs();
    void removeUnlistedWorkers();
    void scheduleDispatch();
    void dispatch();

    std::shared_ptr<Context> m_context;
    FleetSource *m_fleetSource;
    OrderSystem m_orders;
    ObservationSystem m_observations;
    Placement m_placement;
    DispatchSystem m_dispatch;
    WaitReport m_waitReport;
    PacingSystem m_pacing;
    ProgressWriter m_writer;
    CollectionFollower m_jobFollower;
    TermLoader m_loader;
    LeaseKeeper m_leaseKeeper;
    TermState m_state; ///< From before the term, until it is taken into the tables.
    bool m_stateLoaded = false;
    bool m_jobsRead = false;
    std::vector<Row> m_earlyJobRows; ///< Jobs that were read before the state.
    std::vector<FleetNews> m_earlyFleetUpdates; ///< News of workers from before all jobs were known.
    RowVersion m_termStartVersion = 0; ///< Of the write that began the term.
    std::set<JobId>
        m_acceptedThisTerm; ///< Jobs that no earlier coordinator knows, told of before their rows were read.
    std::set<JobId> m_earlyCancellations; ///< Cancellations seen before their jobs.
    std::function<void(bool)> m_storeContact;
    bool m_jobsLoaded = false;
    bool m_earlierRunsKnown = false; ///< Earlier coordinators can start nothing any more, and what they did is known.
    bool m_fleetLoaded = false;
    bool m_dispatchScheduled = false;
    DispatchBudget m_dispatchBudget;
    Duration m_lastDispatchDuration{0}; ///< The last run, waiting for the processor included.
    TimePoint m_lastCleanupAt{};
};

} // namespace fescueledge::workflow
