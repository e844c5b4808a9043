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

/// Choices of the dispatcher that can be compared.
struct QueuePolicy
{
    enum class Order {
        Fair, ///< Urgent first, then the team with the smallest weighted dominant share.
        Fifo, ///< Urgent first, then the oldest job.
    };
    enum class NodeChoice {
        WeightedByRoom, ///< A node with a probability in proportion to the room it should have left.
        Random, ///< Any node that fits by its last notice.
    };

    Order order = Order::Fair;
    NodeChoice nodeChoice = NodeChoice::WeightedByRoom;
};

/// What the queue did since it started.
struct QueueCounters
{
    std::uint64_t transactions = 0; ///< Transactions of partitions that were committed.
    std::uint64_t rowsWritten = 0; ///< Rows that they wrote or removed.
    std::uint64_t conflicts = 0; ///< Transactions that a condition stopped.
    std::uint64_t offers = 0; ///< Attempts offered to nodes.
    std::uint64_t refusals = 0; ///< Offers refused.
    std::uint64_t claims = 0; ///< Attempts claimed durably.
    std::uint64_t finishes = 0; ///< Finished tasks recorded.
    std::uint64_t evictions = 0; ///< Attempts ended by a checkpoint and requeued.
    std::uint64_t losses = 0; ///< Attempts lost with their worker.
    std::size_t openJobs = 0; ///< Jobs in memory now.
    std::size_t pendingTasks = 0; ///< Tasks that wait now.
    std::size_t claimedTasks = 0; ///< Tasks claimed now.
};

/// The job queue as one daemon sees it: callers' operations on any node, and the work of the queue partitions that
/// this node owns.
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
        bool tooLate = false; ///< The job had ended before; the cancellation changed nothing.
        JobStatus
            status; ///< Tasks that run are stopped; each ends as finished or cancelled. Empty if no owner answered.
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

    /// @p seed must differ between runs of the daemon: job ids and write ids are drawn from it.
    JobQueue(Loop *loop, TableService *table, PeerTransport *transport, Authority *authority, std::uint64_t seed,
             const QueuePolicy &policy = QueuePolicy());
    ~JobQueue();
    JobQueue(const JobQueue &) = delete;
    JobQueue &operator=(const JobQueue &) = delete;

    /// Begins to answer peers and to run the systems.
    void start();

    /// Accepts a job: without an error it is durable. Errors: InvalidArgument, KeyReused, StoreUnavailable (not
    /// run), StoreOutcomeUnknown (submit again with the same key).
    void submit(const JobSpec &spec, SubmitHandler handler);
    /// Cancels a job durably, also when its partition has no owner. Errors: NotFound, StoreUnavailable,
    /// StoreOutcomeUnknown.
    void cancel(const JobId &job, const std::string &who, CancelHandler handler);
    /// Shows one job, from the owner of its partition or from the store. Errors: NotFound, StoreUnavailable.
    void show(const JobId &job, ShowHandler handler);
    /// Lists jobs, partition by partition. Errors: StoreUnavailable.
    void list(const JobFilter &filter, ListHandler handler);
    /// Says why a task waits or what became of it. Errors: InvalidArgument, NotFound, StoreUnavailable.
    void explain(const TaskId &task, ExplainHandler handler);

    QueueCounters counters() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace fescueledge
