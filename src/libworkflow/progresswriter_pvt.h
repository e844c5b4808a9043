#pragma once

#include "context_pvt.h"
#include "fescueledge/commitresolver.h"
#include "fescueledge/random.h"
#include "fescueledge/transactionbuilder.h"

#include <bitset>
#include <map>
#include <set>

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
    /// Writes the coordinator's row even if there is nothing else to write, to confirm that the term is the latest.
    void confirmTerm();
    /// Whether there is state that is not in the store and not in the pending write.
    bool hasMore() const;
    /// Removes the rows of an ended job, and then the job from the tables.
    void removeJob(Job *job);
    /// Removes the progress row of a job whose own row has been removed.
    void removeProgress(const JobId &id);

    /// Removes the record of an earlier version once the record that replaces it has been written.
    void replaceWholeRecord();

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
    /// What the record names of a worker.
    struct RecordedState
    {
        bool runs = false;
        bool leaseEnd = false;
    };

    /// What a transaction in flight makes durable.
    struct Batch
    {
        std::vector<JobId> ended;
        std::vector<JobId> removed;
        std::vector<JobId> written;
        std::map<JobId, std::uint64_t> crashes; ///< Job::crashesCounted of the jobs written.
        std::map<WorkerId, std::uint64_t> ends;
        std::map<WorkerId, RecordedState> recorded;
        std::vector<std::size_t> parts; ///< Of the record of workers.
        bool wholeRecordRemoved = false;
        std::size_t rows = 0; ///< Number of rows besides the coordinator's.
    };

    void flush();
    /// Fills in what is out of date and fits; returns whether that is anything.
    bool fillTransaction(TransactionBuilder *transaction, Batch *batch);
    void fillModel(TransactionBuilder *transaction);
    void fillRecord(TransactionBuilder *transaction, Batch *batch);
    /// Fills in part @p index of the record; returns false if the transaction is full.
    bool fillRecordPart(std::size_t index, TransactionBuilder *transaction, Batch *batch);
    /// Computes the end of the lease of each worker in @p part of which the record is to name it.
    void updateLeaseEnds(RecordPart *part) const;
    /// Undoes updateLeaseEnds() where the record does not name the end yet, because @p part was not written.
    static void forgetUnrecordedLeaseEnds(RecordPart *part);
    void fillProgress(TransactionBuilder *transaction, Batch *batch);
    TransactionBuilder::Added addProgress(const Job &job, TransactionBuilder *transaction) const;
    /// Whether the progress of job @p id is durable, or is once the transaction is committed.
    bool isWritten(const JobId &id) const;
    /// Takes note of the run ends that are durable once the transaction is committed.
    void collectEnds(Batch *batch) const;
    void fillRemovals(TransactionBuilder *transaction, Batch *batch);
    /// Halves the number of rows a transaction may have, as one of them is not acceptable to the store. A single row
    /// that is rejected is not tried again before it changes.
    void onRejected(const Batch &batch);
    void onCommit(const std::shared_ptr<Batch> &batch, const CommitResult &result);
    void applyCommitted(const Batch &batch);
    static void setRecorded(Worker *worker, const RecordedState &state);
    /// Takes note that the crashes counted in @p batch are durable, or can't be.
    void applyCrashes(const Batch &batch);
    void logEnd(const Job &job) const;
    void requeue(const Batch &batch);

    std::shared_ptr<Context> m_context;
    CommitResolver m_resolver;
    TableService *m_table;
    Random m_random;
    RowVersion m_chainVersion;
    std::string m_chainValue;
    bool m_removeWholeRecord = false;
    bool m_confirmTerm = false;
    std::set<JobId> m_unwritten; ///< Jobs whose progress is too long for a row, even without checkpoints.
    std::bitset<recordPartCount> m_partTooLong; ///< Logged as too long.
    std::size_t m_maxRows; ///< Of a transaction.
    std::string m_modelWritten;
    TimePoint m_modelAt{};
    std::vector<JobId> m_removals;
    bool m_scheduled = false;
    bool m_inFlight = false;
    TimePoint m_lastWriteAt{};
    Duration m_lastWriteSentAt{0}; ///< The same, since boot.
};

} // namespace fescueledge::workflow
