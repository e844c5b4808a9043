#pragma once

#include "fescueledge/error.h"
#include "fescueledge/jobspec.h"
#include "fescueledge/jobstatus.h"
#include "fescueledge/types.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace fescueledge {

class Authority;
class Loop;
class PeerTransport;
class TableService;

/// Selectable strategies of the dispatcher, so that they can be compared.
struct QueuePolicy
{
    enum class Order {
        Fair, ///< Latency-critical first, then the team with the smallest weighted dominant share.
        Fifo, ///< Latency-critical first, then the oldest job.
    };
    enum class NodeChoice {
        WeightedByCapacity, ///< A random node, weighted by the capacity that it is expected to have left.
        Random, ///< A random node, among those with enough capacity by their last notice.
    };

    Order order = Order::Fair;
    NodeChoice nodeChoice = NodeChoice::WeightedByCapacity;
};

/// Counters since the queue started, and current gauges.
struct QueueCounters
{
    std::uint64_t transactions = 0; ///< Committed transactions of partitions.
    std::uint64_t rowsWritten = 0; ///< Rows written or removed by them.
    std::uint64_t conflicts = 0; ///< Transactions that failed on a condition.
    std::uint64_t offers = 0; ///< Attempts offered to nodes.
    std::uint64_t refusals = 0; ///< Offers refused.
    std::uint64_t claims = 0; ///< Attempts claimed durably.
    std::uint64_t finishes = 0; ///< Finished tasks recorded.
    std::uint64_t evictions = 0; ///< Attempts ended by a checkpoint and requeued.
    std::uint64_t losses = 0; ///< Attempts lost with their worker.
    std::size_t openJobs = 0; ///< Jobs currently in memory.
    std::size_t pendingTasks = 0; ///< Tasks currently waiting.
    std::size_t claimedTasks = 0; ///< Tasks currently claimed.
};

/// The job queue on one node: operations of callers, which any node accepts, and the queue partitions that this node
/// owns.
///
/// All calls and handlers run on the loop. Each handler runs exactly once unless the process ends first. It answers
/// the peer messages `outcome`, `capacity`, `job-added`, `job-cancel`, `job-show`, `job-list`, `job-explain` and
/// `team-usage`; and sends `reserve`, `start` and `control`.
class JobQueue
{
public:
    struct SubmitResult
    {
        std::optional<Error> error;
        JobId job; ///< Durable if there is no error.
        bool existed = false; ///< An earlier submission with this key was accepted; this is its job.
    };
    struct CancelResult
    {
        std::optional<Error> error;
        bool alreadyEnded = false; ///< The job had already ended; the cancellation changed nothing.
        /// Running tasks are stopped; each ends as finished or cancelled. Empty if no owner answered.
        JobStatus status;
    };
    struct ShowResult
    {
        std::optional<Error> error;
        JobStatus status;
    };
    struct ListResult
    {
        std::optional<Error> error;
        std::vector<JobStatus> jobs; ///< Ordered by job id within each partition.
    };
    struct ExplainResult
    {
        std::optional<Error> error;
        TaskExplanation explanation;
    };
    using SubmitHandler = std::function<void(const SubmitResult &)>;
    using CancelHandler = std::function<void(const CancelResult &)>;
    using ShowHandler = std::function<void(const ShowResult &)>;
    using ListHandler = std::function<void(const ListResult &)>;
    using ExplainHandler = std::function<void(const ExplainResult &)>;

    /// @p seed must differ between runs of the daemon, because job ids and write ids are generated from it.
    JobQueue(Loop *loop, TableService *table, PeerTransport *transport, Authority *authority, std::uint64_t seed,
             const QueuePolicy &policy = QueuePolicy());
    ~JobQueue();
    JobQueue(const JobQueue &) = delete;
    JobQueue &operator=(const JobQueue &) = delete;

    /// Starts answering peers and running the systems.
    void start();

    /// Submits a job; it is durable if there is no error. Errors: InvalidArgument, KeyReused, StoreUnavailable (not
    /// accepted), StoreOutcomeUnknown (submit again with the same key).
    void submit(const JobSpec &spec, SubmitHandler handler);
    /// Cancels a job durably, even when its partition has no owner. Errors: NotFound, StoreUnavailable,
    /// StoreOutcomeUnknown.
    void cancel(const JobId &job, const std::string &who, CancelHandler handler);
    /// Shows one job, from the owner of its partition or from the store. Errors: NotFound, StoreUnavailable.
    void show(const JobId &job, ShowHandler handler);
    /// Lists jobs, partition by partition. Errors: StoreUnavailable.
    void list(const JobFilter &filter, ListHandler handler);
    /// Explains why a task waits or how it ended. Errors: InvalidArgument, NotFound, StoreUnavailable.
    void explain(const TaskId &task, ExplainHandler handler);

    QueueCounters counters() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace fescueledge
