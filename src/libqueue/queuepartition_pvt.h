#pragma once

#include "jobtable_pvt.h"
#include "partitionwriter_pvt.h"

#include <memory>

namespace fescueledge {

struct QueueContext;
struct ReadResult;
struct Row;

/// One partition of the job queue under one epoch of this node's ownership. A new epoch gets a new object.
class QueuePartition : public std::enable_shared_from_this<QueuePartition>
{
public:
    QueuePartition(QueueContext *context, int partition, Epoch epoch, RowVersion shardRowVersion);

    /// Starts reading the rows of the partition; isReady() returns true once they are loaded.
    void load();
    bool isReady() const;
    /// True if this node may act for the partition now.
    bool mayAct() const;
    int number() const;
    Epoch epoch() const;
    RowVersion shardRowVersion() const;

    JobTable &jobs();
    PartitionWriter &writer();

    /// Reads a job or its cancellation that was added to the store.
    void onHint(const JobId &job);
    /// Periodically scans the store for jobs and cancellations whose hints were lost.
    void rescan();
    /// Closes @p job durably: tasks that are not running end as @p rest. @p done is called once this is durable.
    /// Returns false if the change can't be staged.
    bool close(Job &job, TaskState rest, const std::string &cancelledBy, const std::string &detail,
               std::function<void(bool)> done);

private:
    void scanNext(std::size_t step);
    void finishLoad();
    void addRows(const std::vector<Row> &jobRows, const std::vector<Row> &cancelRows);
    void addJob(const Row &row, std::map<int, Block> blocks);
    void applyCancelRow(const Row &row);

    QueueContext *m_context;
    int m_partition;
    Epoch m_epoch;
    RowVersion m_shardRowVersion;
    bool m_ready = false;
    bool m_scanning = false;
    TimePoint m_lastScan;
    std::array<std::vector<Row>, 3> m_scans; ///< Rows read so far while loading.
    std::set<JobId> m_hints; ///< Hints received while loading.
    JobTable m_jobs;
    std::shared_ptr<PartitionWriter> m_writer;
};

} // namespace fescueledge
