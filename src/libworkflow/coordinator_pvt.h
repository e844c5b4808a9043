#pragma once

#include "accountreport_pvt.h"
#include "context_pvt.h"
#include "crashledger_pvt.h"
#include "dispatchbudget_pvt.h"
#include "dispatchsystem_pvt.h"
#include "fescueledge/account/rateconformance.h"
#include "fescueledge/watchabletable.h"
#include "fescueledge/workflow/collectionfollower.h"
#include "fescueledge/workflow/fleetsource.h"
#include "frontanswers_pvt.h"
#include "leasekeeper_pvt.h"
#include "listfreshness_pvt.h"
#include "loadreport_pvt.h"
#include "observationsystem_pvt.h"
#include "ordersystem_pvt.h"
#include "pacingsystem_pvt.h"
#include "placement_pvt.h"
#include "progresswriter_pvt.h"
#include "termloader_pvt.h"
#include "unmatchedcancellations_pvt.h"
#include "waitreport_pvt.h"

#include <optional>

namespace fescueledge::workflow {

/// Initial state of a new term.
struct TermStart
{
    Term term = 0;
    RowVersion chainVersion = 0;
    std::string chainValue; ///< Value of the coordinator's row.
};

/// Coordinates all workflows during one term: reads accepted jobs and sends orders to workers.
class Coordinator
{
public:
    Coordinator(std::shared_ptr<Context> context, WatchableTable *table, FleetSource *fleet, const TermStart &start,
                std::uint64_t seed);
    ~Coordinator();
    Coordinator(const Coordinator &) = delete;
    Coordinator &operator=(const Coordinator &) = delete;

    /// Phase of job @p id as reported to callers, which is always durable. Empty if the job is not (yet) known.
    std::optional<JobPhase> status(const JobId &id) const;
    /// Whose job @p id is; nobody's if it is not known.
    JobOwner ownerOf(const JobId &id) const;
    /// Whether job @p id has ended but the end is not known to be durable. The store may have it already.
    bool isEnding(const JobId &id) const;
    /// Number of pending jobs of @p queue; empty until all accepted jobs are loaded.
    std::optional<std::size_t> pending(const std::string &queue) const;
    /// Where the tasks of a job of @p spec would go now, as JSON; empty until all accepted jobs are loaded, or if there
    /// is no queue @p queue. See PlaceQuery.
    std::string explainPlace(const std::string &queue, const std::string &account, const WorkflowSpec &spec);
    void setCatalog(const Catalog *catalog);
    /// Handles the notice of an accepted job, sent by the node that accepted it so that the job doesn't wait for the
    /// watch. Its row is @p value at @p version.
    void handleAcceptedJob(const JobId &id, const std::string &value, RowVersion version);
    /// Handles the notice of a request to cancel a job, which may come before the notice of the job itself.
    void handleCancellation(const JobId &id);
    /// How long the pending write has been waiting for the store's answer; zero if there is none.
    Duration pendingWriteAge() const
    {
        return m_writer.pendingWriteAge();
    }
    /// @p handler is called after calls to the store, with whether the store answered.
    void setStoreContactHandler(std::function<void(bool)> handler);
    /// @p handler is called with times since boot at which the store still had this term as the latest.
    void setTermConfirmedHandler(std::function<void(Duration)> handler);
    Term term() const
    {
        return m_context->term;
    }

private:
    void followJobs();
    void onJobRows(const std::vector<Row> &rows);
    void onJobChanges(const std::vector<WatchResult::Change> &changes);
    void applyTermState(TermState state);
    /// Starts processing once the jobs and the state of earlier terms are loaded.
    void startIfLoaded();
    void applyJobRow(const Row &row);
    /// Cancels job @p id, now or when it is read. @p version is that of the cancellation's row, 0 if not known.
    void cancel(const JobId &id, RowVersion version);
    void onJobsLoaded();
    /// Whether @p job is beyond the rate of its account; jobs have to come in the order in which they were accepted.
    bool isExcess(const Job &job);
    /// Decides that for the jobs that were read together.
    void markExcessJobs();
    void readWorkerRecord(const std::vector<Row> &record);
    /// The longest lease that an earlier coordinator can still give, from the moment at which this term was begun.
    Milliseconds longestForeignLease() const;
    void restoreRecordedWorkers();
    /// Takes over the end of the lease of @p worker from the record; zero if that does not name it.
    void restoreLeaseEnd(Worker *worker, Milliseconds leaseEnd);
    /// Makes tasks of earlier terms wait for all workers, because a part of the record can't be read.
    void restoreUnknownWorkers();
    void onFleetUpdate(const FleetUpdate &update);
    void reportStoreContact(bool reachable);
    void reportTermConfirmed(Duration at);
    void tick();
    void confirmTermIfDue();
    void removeExpiredJobs();
    void removeUnlistedWorkers();
    void scheduleDispatch();
    void dispatch();

    std::shared_ptr<Context> m_context;
    FleetSource *m_fleetSource;
    CrashLedger m_crashes;
    OrderSystem m_orders;
    ObservationSystem m_observations;
    Placement m_placement;
    DispatchSystem m_dispatch;
    WaitReport m_waitReport;
    AccountReport m_accountReport;
    account::RateConformance m_rates;
    PacingSystem m_pacing;
    ProgressWriter m_writer;
    CollectionFollower m_jobFollower;
    ListFreshness m_freshness;
    LoadReport m_loadReport;
    TermLoader m_loader;
    LeaseKeeper m_leaseKeeper;
    TermState m_state; ///< State of earlier terms, until it is applied to the tables.
    std::vector<RecordedWorker> m_recordedWorkers; ///< Workers on which earlier coordinators may have started runs.
    /// Until when workers that an unreadable part of the record may name can hold runs; the epoch if all were read.
    TimePoint m_unreadableUntil{};
    bool m_stateLoaded = false;
    bool m_jobsRead = false;
    std::vector<Row> m_earlyJobRows; ///< Job rows that were read before the state.
    /// The tables have had all job rows up to this version; those that they don't have have been removed since.
    RowVersion m_jobsAppliedUpTo = 0;
    std::vector<FleetUpdate> m_earlyFleetUpdates; ///< Fleet updates received before all jobs were loaded.
    RowVersion m_termStartVersion = 0; ///< Row version of the write that began the term.
    /// Jobs unknown to earlier coordinators whose notice came before their rows were read.
    std::set<JobId> m_acceptedThisTerm;
    UnmatchedCancellations m_cancellations;
    Duration m_termConfirmedAt{0}; ///< Time since boot at which the store still had this term as the latest.
    Duration m_confirmAskedAt{0}; ///< Time since boot at which the store was last asked for that alone.
    std::function<void(bool)> m_storeContact;
    std::function<void(Duration)> m_termConfirmed;
    bool m_jobsLoaded = false;
    /// Earlier coordinators can't start anything more, and all runs that they started are known.
    bool m_earlierRunsKnown = false;
    bool m_fleetLoaded = false;
    bool m_dispatchScheduled = false;
    DispatchBudget m_dispatchBudget;
    Duration m_lastDispatchDuration{0}; ///< Duration of the last run, including the wait for the processor.
    TimePoint m_lastCleanupAt{};
};

} // namespace fescueledge::workflow
