#pragma once

#include "context_pvt.h"
#include "dispatchsystem_pvt.h"
#include "fescueledge/watchabletable.h"
#include "fescueledge/workflow/collectionfollower.h"
#include "fescueledge/workflow/fleetsource.h"
#include "observationsystem_pvt.h"
#include "ordersystem_pvt.h"
#include "pacingsystem_pvt.h"
#include "progresswriter_pvt.h"

#include <optional>

namespace fescueledge::workflow {

/// What a new term starts from.
struct TermStart
{
    Term term = 0;
    RowVersion chainVersion = 0;
    std::string chainValue; ///< Value of the coordinator's row.
    std::string occupiedWorkers; ///< Row of the earlier coordinator; empty if there is none.
    std::string interference; ///< What it had learnt; empty if nothing.
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
    /// Called with whether the store answers.
    void onStoreContact(std::function<void(bool)> handler);
    /// Called when the term marker of a later term was seen.
    Term term() const
    {
        return m_context->term;
    }

private:
    void loadProgress();
    void onJobRows(const std::vector<Row> &rows, bool snapshot);
    void onJobChanges(const std::vector<WatchResult::Change> &changes);
    void takeJobRow(const Row &row);
    void cancel(const JobId &id);
    void begin();
    void expectRecordedWorkers(const std::string &record);
    void onFleetNews(const FleetNews &news);
    void noteStore(bool reachable);
    void tick();
    void forgetOldJobs();
    void forgetGoneWorkers();
    void scheduleDispatch();

    std::shared_ptr<Context> m_context;
    WatchableTable *m_table;
    FleetSource *m_fleetSource;
    OrderSystem m_orders;
    ObservationSystem m_observations;
    DispatchSystem m_dispatch;
    PacingSystem m_pacing;
    ProgressWriter m_writer;
    CollectionFollower m_jobFollower;
    TermStart m_start;
    std::map<JobId, std::string> m_progress; ///< Rows read at the start, until their jobs are added.
    std::set<JobId> m_cancelledEarly; ///< Cancellations seen before their jobs.
    std::function<void(bool)> m_storeContact;
    bool m_jobsLoaded = false;
    bool m_fleetLoaded = false;
    bool m_dispatchScheduled = false;
    TimePoint m_cleanedAt{};
};

} // namespace fescueledge::workflow
