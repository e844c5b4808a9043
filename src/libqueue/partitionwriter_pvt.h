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
/// It gathers changes and writes them in batches, one transaction at a time. Each transaction is conditioned on the
/// partition's shard row, on every row that it touches and, for claims, on the rack's shard row. A transaction
/// whose fate is unknown is looked up and repeated until it is known; nothing else is written before. Changes are
/// applied to the table of jobs only when they are durable.
class PartitionWriter : public std::enable_shared_from_this<PartitionWriter>
{
public:
    PartitionWriter(QueueContext *context, JobTable *jobs, int partition, Epoch epoch, RowVersion shardRowVersion);

    /// Queues @p change; false if too many wait already.
    bool stage(Change change);
    /// Writes what waits, if it is due and no transaction is under way.
    void flush();
    /// True once the rows turned out to be written by another: the partition must be loaded anew.
    bool isSuperseded() const;
    /// Archives done so far; a scan that ran during one may show jobs that are gone.
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
