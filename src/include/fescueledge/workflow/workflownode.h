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

/// What a node needs from outside.
struct NodeParts
{
    Loop *loop = nullptr;
    WatchableTable *table = nullptr;
    PeerTransport *peers = nullptr;
    WorkerGateway *gateway = nullptr;
    FleetSource *fleet = nullptr;
    CatalogSource *catalogs = nullptr;
    EventLog *log = nullptr;
    std::function<WallTime()> wallClock;
    std::function<Duration()> sinceBoot; ///< Counts on while the VM is suspended.
};

/// Who this node is.
struct NodeSelf
{
    NodeId name;
    std::string peerAddress; ///< `ip:port` for other nodes.
    double cores = 1; ///< Share of a core that it may use; larger nodes coordinate by preference.
    std::uint64_t seed = 0;
};

/// What became of a caller's request about a workflow.
enum class FrontOutcome {
    Ok,
    NoQueue, ///< No such queue.
    NoJob, ///< No such job.
    Invalid, ///< The workflow can't be accepted as it is.
    Unavailable, ///< Nothing was done, and nothing of it will be.
    Unknown, ///< It may have been done; the caller should ask again under the same id.
};

/// The answer to such a request.
struct FrontAnswer
{
    FrontOutcome outcome = FrontOutcome::Unavailable;
    std::string detail; ///< For people: why.
    std::string state; ///< Of a job: `queued`, `in_progress`, `complete`, `failed`, `cancelled`.
    std::size_t pending = 0; ///< Of a queue.
    std::chrono::seconds retryAfter{0}; ///< When a refused caller should come back.
};

/// One node of the product: takes callers' requests about workflows, and coordinates all workflows when it is elected.
class WorkflowNode
{
public:
    using AnswerHandler = std::function<void(const FrontAnswer &)>;

    WorkflowNode(const NodeParts &parts, const NodeSelf &self, const CoordinatorSettings &settings);
    ~WorkflowNode();
    WorkflowNode(const WorkflowNode &) = delete;
    WorkflowNode &operator=(const WorkflowNode &) = delete;

    void start();
    /// Gives up coordination, if this node has it, so that another takes over at once.
    void resign();
    /// Whether callers can be served: a catalog is known.
    bool ready() const;
    /// The newest catalog, or nullptr.
    std::shared_ptr<const Catalog> catalog() const;
    bool isCoordinator() const;
    /// Where other nodes reach @p node; empty if it is not known.
    std::string peerAddress(const NodeId &node) const;

    /// Accepts @p spec as job @p id of @p queue: it is durable when the answer says so.
    void submit(const QueuePolicy &queue, const JobId &id, const WorkflowSpec &spec, Milliseconds patience,
                const AnswerHandler &handler);
    void status(const JobId &id, const AnswerHandler &handler);
    void cancel(const JobId &id, Milliseconds patience, const AnswerHandler &handler);
    void pending(const QueuePolicy &queue, const AnswerHandler &handler);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace fescueledge::workflow
