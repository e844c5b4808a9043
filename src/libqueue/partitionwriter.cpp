#include "partitionwriter_pvt.h"

#include "fescueledge/authority.h"
#include "fescueledge/loop.h"
#include "fescueledge/tableservice.h"

#include "batchbuilder_pvt.h"
#include "jobtable_pvt.h"
#include "queuecontext_pvt.h"

#include <glog/logging.h>
#include <utility>

namespace fescueledge {

namespace {

constexpr std::size_t maxStaged = 4096;
constexpr std::size_t maxBatchChanges = 256;
constexpr std::size_t maxBatchRows = 64;
constexpr Milliseconds batchDelay{100};
constexpr Milliseconds commitTimeout{10000};
constexpr Milliseconds commitRetryDelay{400};

} // namespace

PartitionWriter::PartitionWriter(QueueContext *context, JobTable *jobs, int partition, Epoch epoch,
                                 RowVersion shardRowVersion)
    : m_context(context)
    , m_jobs(jobs)
    , m_partition(partition)
    , m_epoch(epoch)
    , m_shardRowVersion(shardRowVersion)
{
}

bool PartitionWriter::stage(Change change)
{
    if (m_staged.size() >= maxStaged) {
        return false;
    }
    if (m_staged.empty()) {
        m_oldestStaged = m_context->loop->now();
    }
    m_urgent = m_urgent || change.urgent;
    m_staged.push_back(std::move(change));
    return true;
}

bool PartitionWriter::isSuperseded() const
{
    return m_superseded;
}

std::uint64_t PartitionWriter::archiveCount() const
{
    return m_archiveCount;
}

bool PartitionWriter::isDue() const
{
    if (m_superseded || !m_inFlight.empty() || m_staged.empty()) {
        return false;
    }
    return m_urgent || m_staged.size() >= maxBatchChanges || m_context->loop->now() - m_oldestStaged >= batchDelay;
}

void PartitionWriter::flush()
{
    if (!isDue() || m_context->authority->ownedEpoch(queueShard(m_partition)) != m_epoch) {
        return;
    }
    fillBatch();
    dropStaleClaims();
    commitBatch();
}

void PartitionWriter::fillBatch()
{
    std::set<std::pair<JobId, int>> rows;
    while (!m_staged.empty() && m_inFlight.size() < maxBatchChanges && rows.size() < maxBatchRows) {
        const Change &next = m_staged.front();
        rows.insert({next.job, next.kind == Change::Kind::Task ? next.index / tasksPerBlock : -1});
        m_inFlight.push_back(std::move(m_staged.front()));
        m_staged.pop_front();
    }
    m_oldestStaged = m_context->loop->now();
    m_urgent = false;
    for (const Change &it : m_staged) {
        m_urgent = m_urgent || it.urgent;
    }
}

void PartitionWriter::dropStaleClaims()
{
    // Claims with different versions of one rack's row can't all commit; the newest version is the current one.
    std::map<std::string, RowVersion> newest;
    for (const Change &it : m_inFlight) {
        if (it.isClaim()) {
            RowVersion &version = newest[it.next.shard];
            version = std::max(version, it.next.shardRowVersion);
        }
    }
    std::vector<Change> kept;
    std::vector<Change> dropped;
    for (Change &it : m_inFlight) {
        const bool stale = it.isClaim() && it.next.shardRowVersion != newest[it.next.shard];
        (stale ? dropped : kept).push_back(std::move(it));
    }
    m_inFlight = std::move(kept);
    for (const Change &it : dropped) {
        it.done(false);
    }
}

void PartitionWriter::commitBatch()
{
    if (m_inFlight.empty()) {
        return;
    }
    BatchBuilder builder(m_jobs, shardKey(queueShard(m_partition)), m_shardRowVersion);
    for (const Change &it : m_inFlight) {
        builder.add(it);
    }
    m_transaction = builder.build(m_context->random.uniqueId());
    sendTransaction();
}

void PartitionWriter::sendTransaction()
{
    const std::weak_ptr<PartitionWriter> weak = weak_from_this();
    m_context->resolver.commit(m_transaction, commitTimeout, [weak](const CommitResult &result) {
        if (const std::shared_ptr<PartitionWriter> self = weak.lock()) {
            self->onCommit(result);
        }
    });
}

void PartitionWriter::onCommit(const CommitResult &result)
{
    const std::weak_ptr<PartitionWriter> weak = weak_from_this();
    if (result.status == CommitStatus::Committed) {
        apply(result.version);
        return;
    }
    if (result.status != CommitStatus::Conflict) {
        // Retries the same transaction: it takes effect at most once, and nothing else is written before.
        m_context->loop->postAfter(m_context->jittered(commitRetryDelay), [weak] {
            if (const std::shared_ptr<PartitionWriter> self = weak.lock()) {
                self->sendTransaction();
            }
        });
        return;
    }
    ++m_context->counters.conflicts;
    std::vector<std::string> keys;
    for (const Transaction::Condition &it : m_transaction.conditions) {
        keys.push_back(it.key);
    }
    m_context->table->read(keys, [weak](const ReadResult &rows) {
        if (const std::shared_ptr<PartitionWriter> self = weak.lock()) {
            self->onConflict(rows);
        }
    });
}

void PartitionWriter::onConflict(const ReadResult &rows)
{
    if (!rows.available) {
        // The retried transaction conflicts again, and then the rows are read again.
        onCommit(CommitResult{CommitStatus::Unavailable, 0});
        return;
    }
    const Row *firstPut = rows.find(m_transaction.puts.front().key);
    if (firstPut != nullptr && firstPut->writeId == m_transaction.writeId) {
        apply(firstPut->version);
        return;
    }
    for (const Transaction::Condition &it : m_transaction.conditions) {
        const Row *row = rows.find(it.key);
        const RowVersion version = row == nullptr ? 0 : row->version;
        if (version == it.version) {
            continue;
        }
        const bool rack = it.key.rfind(shardKey("rack:"), 0) == 0;
        if (!rack) {
            LOG(WARNING) << "queue_partition_superseded shard=" << queueShard(m_partition) << " row=" << it.key
                         << " version=" << version;
            m_superseded = true;
            return;
        }
        failClaims(it.key);
    }
    commitBatch();
}

void PartitionWriter::failClaims(const std::string &rackRow)
{
    std::vector<Change> kept;
    std::vector<Change> dropped;
    for (Change &it : m_inFlight) {
        const bool stale = it.isClaim() && shardKey(it.next.shard) == rackRow;
        (stale ? dropped : kept).push_back(std::move(it));
    }
    m_inFlight = std::move(kept);
    for (const Change &it : dropped) {
        it.done(false);
    }
}

void PartitionWriter::apply(RowVersion version)
{
    ++m_context->counters.transactions;
    m_context->counters.rowsWritten += m_transaction.puts.size() + m_transaction.removals.size();
    std::vector<Change> changes = std::move(m_inFlight);
    m_inFlight.clear();
    for (const Change &it : changes) {
        Job &job = *m_jobs->find(it.job);
        if (it.kind == Change::Kind::Task) {
            job.blocks.at(it.index / tasksPerBlock).version = version;
        } else {
            job.version = version;
        }
    }
    for (Change &it : changes) {
        applyChange(it);
    }
}

void PartitionWriter::applyChange(Change &change)
{
    const TimePoint now = m_context->loop->now();
    Job &job = *m_jobs->find(change.job);
    switch (change.kind) {
    case Change::Kind::Task:
        m_jobs->applyTask(job, change.index, change.next, now, now + change.delay);
        break;
    case Change::Kind::Close:
        m_jobs->applyClose(job, change.closedRecord);
        break;
    case Change::Kind::Archive:
        ++m_archiveCount;
        m_jobs->erase(change.job);
        break;
    }
    if (change.done) {
        change.done(true);
    }
}

} // namespace fescueledge
