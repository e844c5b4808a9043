#include "queuepartition_pvt.h"

#include "fescueledge/authority.h"
#include "fescueledge/loop.h"
#include "fescueledge/tableservice.h"

#include "queuecontext_pvt.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace fescueledge {

namespace {

constexpr Milliseconds loadRetryDelay{500};
constexpr Milliseconds rescanInterval{15000};
/// Kinds of rows in the order in which they are read.
constexpr const char *rowKinds[] = {"job", "cancel", "block"};

} // namespace

QueuePartition::QueuePartition(QueueContext *context, int partition, Epoch epoch, RowVersion shardRowVersion)
    : m_context(context)
    , m_partition(partition)
    , m_epoch(epoch)
    , m_shardRowVersion(shardRowVersion)
    , m_writer(std::make_shared<PartitionWriter>(context, &m_jobs, partition, epoch, shardRowVersion))
{
}

void QueuePartition::load()
{
    scanNext(0);
}

void QueuePartition::scanNext(std::size_t step)
{
    if (step == m_scans.size()) {
        finishLoad();
        return;
    }
    const std::weak_ptr<QueuePartition> weak = weak_from_this();
    const std::string prefix = partitionPrefix(rowKinds[step], m_partition);
    m_context->table->scan(prefix, [weak, step](const ReadResult &result) {
        const std::shared_ptr<QueuePartition> self = weak.lock();
        if (!self) {
            return;
        }
        if (result.available) {
            self->m_scans[step] = result.rows;
            self->scanNext(step + 1);
            return;
        }
        self->m_context->loop->postAfter(self->m_context->jittered(loadRetryDelay), [weak, step] {
            if (const std::shared_ptr<QueuePartition> partition = weak.lock()) {
                partition->scanNext(step);
            }
        });
    });
}

void QueuePartition::finishLoad()
{
    std::map<JobId, std::map<int, Block>> blocks = groupBlocks(m_scans[2]);
    for (const Row &row : m_scans[0]) {
        addJob(row, std::move(blocks[lastKeyPart(row.key)]));
    }
    m_ready = true;
    for (const Row &row : m_scans[1]) {
        applyCancelRow(row);
    }
    m_scans = {};
    m_lastScan = m_context->loop->now();
    LOG(INFO) << "queue_partition_loaded shard=" << queueShard(m_partition) << " epoch=" << m_epoch
              << " jobs=" << m_jobs.all().size() << " claimed=" << m_jobs.claimedTasks();
    for (const JobId &job : std::exchange(m_hints, {})) {
        onHint(job);
    }
}

bool QueuePartition::isReady() const
{
    return m_ready && !m_writer->isSuperseded();
}

bool QueuePartition::mayAct() const
{
    return m_context->authority->ownedEpoch(queueShard(m_partition)) == m_epoch;
}

int QueuePartition::number() const
{
    return m_partition;
}

Epoch QueuePartition::epoch() const
{
    return m_epoch;
}

RowVersion QueuePartition::shardRowVersion() const
{
    return m_shardRowVersion;
}

JobTable &QueuePartition::jobs()
{
    return m_jobs;
}

PartitionWriter &QueuePartition::writer()
{
    return *m_writer;
}

void QueuePartition::onHint(const JobId &job)
{
    if (!m_ready) {
        m_hints.insert(job);
        return;
    }
    const std::weak_ptr<QueuePartition> weak = weak_from_this();
    const std::uint64_t archives = m_writer->archiveCount();
    m_context->table->read({jobRowKey(job), cancelRowKey(job)}, [weak, job, archives](const ReadResult &result) {
        const std::shared_ptr<QueuePartition> self = weak.lock();
        if (!self || !result.available) {
            return;
        }
        if (archives != self->m_writer->archiveCount()) {
            self->onHint(job);
            return;
        }
        std::vector<Row> jobRows;
        std::vector<Row> cancelRows;
        for (const Row &row : result.rows) {
            (row.key == jobRowKey(job) ? jobRows : cancelRows).push_back(row);
        }
        self->addRows(jobRows, cancelRows);
    });
}

void QueuePartition::rescan()
{
    const TimePoint now = m_context->loop->now();
    if (!isReady() || m_scanning || now - m_lastScan < rescanInterval) {
        return;
    }
    m_scanning = true;
    m_lastScan = now + m_context->jittered(Duration::zero());
    const std::weak_ptr<QueuePartition> weak = weak_from_this();
    const std::uint64_t archives = m_writer->archiveCount();
    m_context->table->scan(partitionPrefix("job", m_partition), [weak, archives](const ReadResult &jobRows) {
        const std::shared_ptr<QueuePartition> self = weak.lock();
        if (!self) {
            return;
        }
        self->m_context->table->scan(
            partitionPrefix("cancel", self->m_partition), [weak, archives, jobRows](const ReadResult &cancelRows) {
                const std::shared_ptr<QueuePartition> partition = weak.lock();
                if (!partition) {
                    return;
                }
                partition->m_scanning = false;
                if (jobRows.available && cancelRows.available && archives == partition->m_writer->archiveCount()) {
                    partition->addRows(jobRows.rows, cancelRows.rows);
                }
            });
    });
}

void QueuePartition::addRows(const std::vector<Row> &jobRows, const std::vector<Row> &cancelRows)
{
    for (const Row &row : jobRows) {
        if (m_jobs.find(lastKeyPart(row.key)) == nullptr) {
            addJob(row, {});
        }
    }
    for (const Row &row : cancelRows) {
        applyCancelRow(row);
    }
}

void QueuePartition::addJob(const Row &row, std::map<int, Block> blocks)
{
    const JobRecord record = nlohmann::json::parse(row.value).get<JobRecord>();
    m_jobs.add(lastKeyPart(row.key), record, row.version, std::move(blocks), m_context->loop->now());
}

void QueuePartition::applyCancelRow(const Row &row)
{
    Job *job = m_jobs.find(lastKeyPart(row.key));
    if (job == nullptr || job->isClosing) {
        // A change of the job row was staged without this row: its condition fails and the partition is reloaded.
        return;
    }
    job->cancelRowVersion = row.version;
    if (job->record.isClosed()) {
        return;
    }
    const std::string cancelledBy = nlohmann::json::parse(row.value).at("who").get<std::string>();
    close(*job, TaskState::Cancelled, cancelledBy, "cancelled", nullptr);
}

bool QueuePartition::close(Job &job, TaskState rest, const std::string &cancelledBy, const std::string &detail,
                           std::function<void(bool)> done)
{
    Change change;
    change.kind = Change::Kind::Close;
    change.job = job.id;
    change.closedRecord = job.record;
    change.closedRecord.rest = rest;
    change.closedRecord.cancelledBy = cancelledBy;
    change.closedRecord.detail = detail;
    change.urgent = true;
    change.done = std::move(done);
    if (!m_writer->stage(std::move(change))) {
        return false;
    }
    job.isClosing = true;
    m_jobs.reindex(job);
    return true;
}

} // namespace fescueledge
