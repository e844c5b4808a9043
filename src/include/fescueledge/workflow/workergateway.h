#pragma once

#include "fescueledge/resources.h"
#include "fescueledge/workflow/taskkey.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace fescueledge::workflow {

/// A time on a worker's own steady clock.
using WorkerTime = Milliseconds;

/// A worker's entry in the list of workers.
struct WorkerEntry
{
    WorkerId id;
    std::string address; ///< `ip:port`.
    std::string service;
    DataCentreId dataCentre;
    std::string rack;
    std::set<std::string> labels;
    Resources capacity;
    bool draining = false; ///< It leaves soon and accepts no new tasks.
    std::int64_t incarnation = 0; ///< Start time of this incarnation of the worker, in ms since 1970; identifies it.
};

/// The worker that an order is addressed to.
struct WorkerRef
{
    WorkerId id;
    std::string address;
};

/// The result of an order to a worker.
enum class OrderOutcome {
    Done, ///< The worker carried it out, now or earlier.
    StaleTerm, ///< The worker has seen an order of a later coordinator.
    StaleRun, ///< A run with this or a higher number was stopped or has ended on the worker.
    Late, ///< The lease in the order has expired.
    InsufficientCapacity, ///< The worker has too little free capacity.
    NoTicket, ///< The policy's ticket is missing or no longer valid.
    Rejected, ///< The worker considers the order malformed.
    Unhealthy, ///< The worker currently accepts no orders and has done nothing.
    OtherIncarnation, ///< Another incarnation of the worker answers at that address.
    NotSent, ///< The connection failed; nothing was done.
    NoAnswer, ///< It may have been carried out, or may still be.
};

/// The name of @p outcome in logs.
const char *orderOutcomeName(OrderOutcome outcome);

/// The answer to an order.
struct OrderResult
{
    OrderOutcome outcome = OrderOutcome::NoAnswer;
    WorkerTime workerClock{0}; ///< 0 if the answer does not carry it.
};

/// Order to run a task.
struct StartOrder
{
    TaskKey task;
    RunNumber run = 1;
    std::string payload;
    std::string checkpoint; ///< Empty to start from the beginning.
    WorkerTime leaseUntil{0}; ///< All runs on the worker are killed at this time unless the lease is renewed.
    Term term = 0;
    std::int64_t incarnation = 0; ///< The order is for this incarnation of the worker; 0 if none is known.
};

/// How a run ended.
enum class RunEnd {
    Done,
    Failed,
    Stopped, ///< By an order.
    LeaseExpired, ///< Its lease expired.
    GangMemberEnded, ///< Another member of its gang ended.
    GangIncomplete, ///< The other members of its gang did not start.
};

/// The name of @p end in logs.
const char *runEndName(RunEnd end);

/// A run that is active on a worker.
struct ActiveRun
{
    TaskKey task;
    RunNumber run = 0;
    std::string checkpoint; ///< Newest saved progress; empty if none.
    int percentAtWork = 0; ///< Progress; 100 for a long-running task that has started up.
    std::int64_t gauge = 0; ///< Serving task: tail response time in ms. Others: thousandths of a core in use.
};

/// A run that has ended on a worker and whose end has not been acknowledged.
struct EndedRun
{
    std::uint64_t number = 0; ///< Position in the worker's list of ends, from 1.
    TaskKey task;
    RunNumber run = 0;
    RunEnd how = RunEnd::Failed;
    std::string checkpoint;
};

/// Order that renews the lease of a worker and queries its runs.
struct ObserveOrder
{
    Term term = 0;
    /// The incarnation that the acknowledgement and the lease are for: it has numbered the ends, and the lease is a
    /// time on its clock. No other is told of them. 0 if none is known.
    std::int64_t incarnation = 0;
    std::uint64_t acknowledged = 0; ///< Ended runs up to this number are durable and may be discarded.
    WorkerTime leaseUntil{0}; ///< 0 to leave the lease unchanged.
    Milliseconds wait{0}; ///< Maximum time that the worker waits for a run to end before it answers.
};

/// The runs on a worker.
struct Observation
{
    OrderOutcome outcome = OrderOutcome::NoAnswer;
    WorkerTime workerClock{0};
    std::int64_t incarnation = 0;
    std::uint64_t acknowledged = 0; ///< ObserveOrder::acknowledged, or 0 if the worker was not told of it.
    bool leased = false; ///< The worker was told of ObserveOrder::leaseUntil.
    std::vector<ActiveRun> active;
    std::vector<EndedRun> ended; ///< The first ones by number that are not acknowledged.
    bool endsComplete = true; ///< These are all; a worker lists only so many at a time.
};

/// Sends orders to workers. Handlers run on the caller's loop, exactly once.
///
/// A worker may restart under its id while an order is under way. A start, a lease and an acknowledgement reach only
/// the incarnation that they are for: what the next one would do with them can't be told, as it knows nothing of
/// before. A start that finds another incarnation is NotSent. Stops and paces may reach any.
class WorkerGateway
{
public:
    using OrderHandler = std::function<void(const OrderResult &)>;
    using ObserveHandler = std::function<void(const Observation &)>;

    virtual ~WorkerGateway() = default;
    virtual void start(const WorkerRef &worker, const StartOrder &order, Milliseconds timeout,
                       OrderHandler handler) = 0;
    virtual void stop(const WorkerRef &worker, const TaskKey &task, RunNumber run, Term term, Milliseconds timeout,
                      OrderHandler handler) = 0;
    /// Lets a run work at @p percent of its speed.
    virtual void pace(const WorkerRef &worker, const TaskKey &task, RunNumber run, int percent, Term term,
                      Milliseconds timeout, OrderHandler handler) = 0;
    /// @p timeout is for the whole call, so it must be longer than the order's wait.
    virtual void observe(const WorkerRef &worker, const ObserveOrder &order, Milliseconds timeout,
                         ObserveHandler handler) = 0;
};

} // namespace fescueledge::workflow
