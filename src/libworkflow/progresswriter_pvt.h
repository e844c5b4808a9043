#pragma once

#include "context_pvt.h"
#include "fescueledge/commitresolver.h"
#include "fescueledge/random.h"

#include <map>

namespace fescueledge {
class TableService;
}

namespace fescueledge::workflow {

/// Writes the progress of a term to the store, in one chain of transactions.
///
/// Each transaction is conditioned on the version of the coordinator's row that the one before it wrote, and writes
/// that row again. So neither a late copy of an earlier transaction nor a transaction of a replaced coordinator can
/// take effect.
class ProgressWriter
{
public:
    /// @p chainVersion is the version of the coordinator's row as this term wrote it; @p chainValue its value.
    ProgressWriter(std::shared_ptr<Context> context, TableService *table, RowVersion chainVersion,
                   std::string chainValue, std::uint64_t seed);

    /// Schedules a write, which is skipped if there is nothing to write.
    void wake();
    /// Removes the rows of an ended job, and then the job from the tables.
    void removeJob(Job *job);
    /// Removes the progress row of a job whose own row has been removed.
    void removeProgress(const JobId &id);

    /// How long the pending write has been waiting for its answer; zero if there is none.
    Duration pendingWriteAge() const;

    /// Called after a transaction was committed.
    std::function<void()> committed;
    /// Called with whether the store could be reached for a write.
    std::function<void(bool)> storeReachable;
    /// Called with a time since boot at which the store still had this term as the latest.
    std::function<void(Duration)> termConfirmed;

    std::uint64_t commits = 0;

private:
    /// What a transaction in flight makes durable.
    struct Batch
    {
        std::vector<JobId> ended;
        std::vector<JobId> removed;
        std::vector<JobId> written;
        std::map<WorkerId, std::uint64_t> ends;
        std::map<WorkerId, bool> recorded; ///< Whether the record names their runs.
        bool hasRecord = false;
    };

    void flush();
    bool fillTransaction(Transaction *transaction, Batch *batch);
    void fillModel(Transaction *transaction);
    bool fillRecord(Transaction *transaction, Batch *batch);
    void onCommit(const std::shared_ptr<Batch> &batch, const CommitResult &result);
    void applyCommitted(const Batch &batch);
    void logEnd(const Job &job) const;
    void requeue(const Batch &batch);

    std::shared_ptr<Context> m_context;
    CommitResolver m_resolver;
    TableService *m_table;
    Random m_random;
    RowVersion m_chainVersion;
    std::string m_chainValue;
    std::string m_recordWritten;
    std::string m_modelWritten;
    TimePoint m_modelAt{};
    std::vector<JobId> m_removals;
    bool m_scheduled = false;
    bool m_inFlight = false;
    TimePoint m_lastWriteAt{};
    Duration m_lastWriteSentAt{0}; ///< The same, since boot.
};

} // namespace fescueledge::workflow
