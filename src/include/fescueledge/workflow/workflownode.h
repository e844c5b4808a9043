#pragma once

#include "fescueledge/workflow/catalog.h"
#include "fescueledge/workflow/coordinatorsettings.h"
#include "fescueledge/workflow/workflowspec.h"

#include <functional>
#include <memory>
#include <string>

namespace fescueledge {
class EventLog;
class Loop;
class PeerTransport;
class WatchableTable;
} // namespace fescueledge

namespace fescueledge::workflow {

class CatalogSource;
class FleetSource;
class WorkerGateway;

/// Dependencies of a node.
struct NodeDependencies
{
    Loop *loop = nullptr;
    WatchableTable *table = nullptr;
    PeerTransport *peers = nullptr;
    WorkerGateway *gateway = nullptr;
    FleetSource *fleet = nullptr;
    CatalogSource *catalogs = nullptr;
    EventLog *log = nullptr;
    std::function<WallTime()> wallClock;
    std::function<Duration()> sinceBoot; ///< Time since boot, including time in which the VM was suspended.
    std::function<Duration()> processorTime; ///< Processor time that the process has used so far; may be empty.
};

/// The identity of this node.
struct WorkflowNodeIdentity
{
    NodeId name;
    std::string peerAddress; ///< `ip:port` for other nodes.
    double cores = 1; ///< CPU that it may use, in cores; larger nodes are preferred as coordinator.
    std::uint64_t seed = 0;
};

/// The result of a caller's request about a workflow.
enum class CallerOutcome {
    Ok,
    NoQueue, ///< No such queue.
    NoJob, ///< No such job.
    Invalid, ///< The workflow is not valid.
    Unavailable, ///< The request was not carried out and will not be.
    OtherAccount, ///< The job belongs to an account that the request is not for.
    Cancelled, ///< The job was cancelled before it was stored, so it never runs; a repetition has the same result.
    Unknown, ///< The request may have been carried out; the caller should repeat it with the same id.
};

/// Who makes a request, and how long it waits for the answer.
struct Caller
{
    std::string account; ///< Client account that the request is for; empty if it has none.
    bool ownJobsOnly = true; ///< Jobs of other accounts are closed to it.
    Milliseconds timeout{0}; ///< 0 if unknown.
    /// Queue of its request. Otherwise a request to a public route, which needs no key, would reach the jobs of
    /// accounts on any route. Jobs of other queues that belong to another account are closed to it; if it is empty,
    /// only by ownJobsOnly.
    std::string queue;
};

/// The answer to a caller's request about a workflow.
struct CallerAnswer
{
    CallerOutcome outcome = CallerOutcome::Unavailable;
    std::string detail; ///< Reason, for people.
    std::string state; ///< For a job: `queued`, `in_progress`, `complete`, `failed` or `cancelled`.
    std::string explanation; ///< For a question where a job would go: what is known, as JSON.
    std::size_t pending = 0; ///< For a queue: number of queued jobs that run once.
    std::chrono::seconds retryAfter{0}; ///< Delay after which a rejected caller should retry.
};

/// One node of a deployment: accepts callers' requests about workflows, and coordinates all workflows while it is the
/// elected coordinator.
class WorkflowNode
{
public:
    using AnswerHandler = std::function<void(const CallerAnswer &)>;

    WorkflowNode(const NodeDependencies &parts, const WorkflowNodeIdentity &self, const CoordinatorSettings &settings);
    ~WorkflowNode();
    WorkflowNode(const WorkflowNode &) = delete;
    WorkflowNode &operator=(const WorkflowNode &) = delete;

    void start();
    /// Steps down if this node is the coordinator, so that another node takes over immediately.
    void resign();
    /// True if callers can be served, that is if a catalog has been loaded.
    bool ready() const;
    /// The newest catalog, or nullptr.
    std::shared_ptr<const Catalog> catalog() const;
    /// Sets a handler that is called with each newer catalog.
    void setCatalogHandler(std::function<void(const Catalog &)> handler);
    bool isCoordinator() const;
    /// Peer address of @p node; empty if unknown.
    std::string peerAddress(const NodeId &node) const;

    /// Submits @p spec as job @p id to @p queue, for the account of @p caller. The job is durable if the outcome is Ok.
    /// A job that was cancelled before is not stored. Requests about a job that belongs to another account than that of
    /// @p caller end with OtherAccount.
    void submit(const QueuePolicy &queue, const JobId &id, const WorkflowSpec &spec, const Caller &caller,
                const AnswerHandler &handler);
    void status(const JobId &id, const Caller &caller, const AnswerHandler &handler);
    /// Cancels job @p id. NoJob means that there is none, and that a submission that is still under way will not be
    /// stored: this is kept for CoordinatorSettings::statusRetention.
    void cancel(const JobId &id, const Caller &caller, const AnswerHandler &handler);
    void pending(const QueuePolicy &queue, const AnswerHandler &handler);
    /// Asks the coordinator where the tasks of a job of @p spec would go if it were submitted to @p queue for
    /// @p account now, and why. Nothing is submitted.
    void explainPlace(const QueuePolicy &queue, const std::string &account, const WorkflowSpec &spec,
                      const AnswerHandler &handler);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace fescueledge::workflow
