#pragma once

#include "latencytracker_pvt.h"
#include "localattempt_pvt.h"
#include "nodechooser_pvt.h"
#include "retrybudget_pvt.h"

#include "fescueledge/controlstate.h"
#include "fescueledge/requestpolicy.h"
#include "fescueledge/requeststatistics.h"

#include <set>

namespace fescueledge {

class Forwarder;
class LocalSender;

/// An admitted request and the control tables that applied at its admission.
struct AdmittedRequest
{
    ServiceRequest request;
    std::shared_ptr<const ControlState> control; ///< Keeps route and pool alive.
    const Route *route = nullptr;
    const Pool *pool = nullptr;
    TimePoint deadline;
    std::shared_ptr<DecisionRecord> record;
};

/// Runs admitted requests: picks the node for each attempt, retries within the budget, and hedges slow requests.
class RequestRunner
{
public:
    using Handler = std::function<void(const DispatchResult &)>;

    RequestRunner(Loop *loop, Authority *authority, LocalSender *sender, Forwarder *forwarder, RemoteCapacity *capacity,
                  RequestStatistics *statistics, std::uint64_t seed);

    void setPolicy(const RequestPolicy &policy);
    /// Runs @p admitted; the handler runs exactly once, never before this call returns.
    void run(const AdmittedRequest &admitted, Handler handler);

private:
    struct Run;
    using RunPtr = std::shared_ptr<Run>;
    using AttemptPtr = std::shared_ptr<LocalAttempt>;

    struct PoolState
    {
        RetryBudget budget;
        LatencyWindow latencyWindow; ///< Latencies of answered requests, as callers see them.
    };

    bool startAttempt(const RunPtr &run);
    std::optional<NodeId> chooseNode(const RunPtr &run);
    AttemptPtr makeAttempt(const RunPtr &run, const NodeId &node);
    void onResult(const RunPtr &run, const NodeId &node, const DispatchResult &result);
    bool mayRetry(const RunPtr &run, const DispatchResult &result);
    void scheduleHedge(const RunPtr &run);
    bool hasFreeSlotsForHedge(const Pool &pool);
    void hedge(const RunPtr &run);
    void finish(const RunPtr &run, DispatchResult result);

    Loop *m_loop;
    Authority *m_authority;
    LocalSender *m_sender;
    Forwarder *m_forwarder;
    RemoteCapacity *m_capacity;
    RequestStatistics *m_statistics;
    RequestPolicy m_policy;
    NodeChooser m_nodeChooser;
    Random m_random;
    std::map<std::string, PoolState> m_pools;
};

} // namespace fescueledge
