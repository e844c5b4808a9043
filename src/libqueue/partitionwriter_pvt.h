#pragma once

#include "change_pvt.h"

#include "fescueledge/commitresult.h"
#include "fescueledge/transaction.h"

#include <deque>
#include <map>
#include <memory>

namespace fescueledge {

class JobTable;
struct Job;
struct QueueContext;
struct ReadResult;

/// The only writer of the rows of one partition under one epoch.
///
/// Changes are staged and written in batches, one transaction at a time. Each transaction is conditioned on the
/// partition's shard row, on every row that it writes and, for claims, on the rack's shard row. A transaction with an
/// unknown outcome is looked up and retried until the outcome is known; nothing else is written before. Changes are
/// applied to the job table only once they are durable.
class PartitionWriter : public std::enable_shared_from_this<PartitionWriter>
{
public:
    PartitionWriter(QueueContext *context, JobTable *jobs, int partition, Epoch epoch, RowVersion shardRowVersion);

    /// Queues @p change. Returns false if the queue is full.
    bool stage(Change change);
    /// Writes the staged changes if a batch is due and no transaction is in flight.
    void flush();
    /// True once another writer was found to have changed the rows: the partition must be reloaded.
    bool isSuperseded() const;
    /// Jobs archived so far. A scan during which this count changed may contain jobs that were removed.
    std::uint64_t archiveCount() const;

private:
    void fillBatch();
    void dropStaleClaims();
    bool isDue() const;
    void commitBatch();
    void sendTransaction();
    void onCommit(const CommitResult &result);
    void onConflict(const ReadResult &rows);
    void apply(RowVersion version);
    void applyChange(Change &change);
    void failClaims(const std::string &rackRow);

    QueueContext *m_context;
    JobTable *m_jobs;
    int m_partition;
    Epoch m_epoch;
    RowVersion m_shardRowVersion;
    std::deque<Change> m_staged;
    TimePoint m_oldestStaged;
    bool m_urgent = false;
    std::vector<Change> m_inFlight;
    Transaction m_transaction;
    bool m_superseded = false;
    std::uint64_t m_archiveCount = 0;
};

} // namespace fescueledge
