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

/// What a worker says of itself in the list of workers.
struct WorkerEntry
{
    WorkerId id;
    std::string address; ///< `ip:port`.
    std::string service;
    DataCentreId dataCentre;
    std::string rack;
    std::set<std::string> labels;
    Resources capacity;
    bool draining = false; ///< It leaves soon and takes nothing new.
    std::int64_t life = 0; ///< Start of this life, in ms since 1970; another number is another life.
};

/// Which worker an order is meant for.
struct WorkerRef
{
    WorkerId id;
    std::string address;
};

/// How a call to a worker went.
enum class OrderOutcome {
    Done, ///< The worker did it, or had done it before.
    StaleTerm, ///< The worker has seen an order of a later coordinator.
    StaleRun, ///< A run with this or a higher number has been stopped or has ended there.
    Late, ///< The lease in the order has passed.
    NoRoom, ///< It does not fit.
    NoTicket, ///< The policy's ticket is missing or no longer valid.
    Rejected, ///< The worker finds the order malformed.
    Unhealthy, ///< The worker takes nothing now and has done nothing.
    OtherLife, ///< Another incarnation answers at that address.
    NotSent, ///< No connection; nothing was done.
    NoAnswer, ///< It may have been done, and may yet be.
};

/// The name of @p outcome in logs.
const char *orderOutcomeName(OrderOutcome outcome);

/// The answer to an order.
struct OrderResult
{
    OrderOutcome outcome = OrderOutcome::NoAnswer;
    WorkerTime workerClock{0}; ///< 0 if the answer does not carry it.
};

/// Tells a worker to run a task.
struct StartOrder
{
    TaskKey task;
    RunNumber run = 1;
    std::string payload;
    std::string checkpoint; ///< Empty to start from the beginning.
    WorkerTime leaseUntil{0}; ///< All that runs on the worker is killed then, unless prolonged.
    Term term = 0;
};

/// How a run ended.
enum class RunEnd {
    Done,
    Failed,
    Stopped, ///< By an order.
    Lapsed, ///< Its lease ran out.
    Broken, ///< Another member of its gang ended.
    Alone, ///< The other members of its gang did not come.
};

/// The name of @p end in logs.
const char *runEndName(RunEnd end);

/// A run that is on a worker.
struct ActiveRun
{
    TaskKey task;
    RunNumber run = 0;
    std::string checkpoint; ///< Newest saved progress; empty if none.
    int percentAtWork = 0; ///< 100 for a long-running task that has started up.
    std::int64_t gauge = 0; ///< Serving task: tail of its response times in ms. Other: thousandths of a core in use.
};

/// A run that has ended on a worker and whose end was not yet acknowledged.
struct EndedRun
{
    std::uint64_t number = 0; ///< Position in the worker's list of ends, from 1.
    TaskKey task;
    RunNumber run = 0;
    RunEnd how = RunEnd::Failed;
    std::string checkpoint;
};

/// Renews the lease of a worker and asks what it runs.
struct ObserveOrder
{
    Term term = 0;
    std::uint64_t acknowledged = 0; ///< Ends up to this number are durable and may be forgotten.
    WorkerTime leaseUntil{0}; ///< 0 to leave the lease as it is.
    Milliseconds wait{0}; ///< How long the answer may wait for an end.
};

/// What a worker runs.
struct Observation
{
    OrderOutcome outcome = OrderOutcome::NoAnswer;
    WorkerTime workerClock{0};
    std::int64_t life = 0;
    std::vector<ActiveRun> active;
    std::vector<EndedRun> ended;
};

/// Orders to workers. Handlers run on the caller's loop, exactly once.
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
    /// @p timeout counts from when the worker may answer at the latest, so beyond the order's wait.
    virtual void observe(const WorkerRef &worker, const ObserveOrder &order, Milliseconds timeout,
                         ObserveHandler handler) = 0;
};

} // namespace fescueledge::workflow
