#include "requestrunner_pvt.h"

#include "forwarder_pvt.h"
#include "localsender_pvt.h"
#include "routematcher_pvt.h"

#include "fescueledge/authority.h"
#include "fescueledge/invariant.h"
#include "fescueledge/loop.h"

#include <algorithm>

namespace fescueledge {

namespace {

/// Maximum number of further attempts of one request after refusals before a byte was sent.
constexpr int maxReroutes = 3;
constexpr Milliseconds minHedgeDelay{1};
/// Hedges are sent only while at least this share of all slots is free: under load they would delay other requests.
constexpr double minFreeSlotShare = 0.05;
constexpr int serverErrorStatus = 500;

bool isServerError(const DispatchResult &result)
{
    return result.ok && result.response.status >= serverErrorStatus;
}

bool isNotRun(const DispatchResult &result)
{
    return !result.ok && result.outcome == RunOutcome::NotRun;
}

} // namespace

/// A request that has not been answered yet, and its attempts.
struct RequestRunner::Run
{
    AdmittedRequest admitted;
    Handler handler;
    TimePoint started;
    bool finished = false;
    int attempts = 0;
    int openAttempts = 0; ///< Attempts without a result.
    int inDoubtAttempts = 0; ///< Attempts that may have run or may still run.
    int reroutes = 0;
    std::vector<WorkerId> avoidWorkers;
    std::set<NodeId> avoidNodes;
    NodeId lastNode;
    std::weak_ptr<LocalAttempt> lastAttempt; ///< Weak to avoid a cycle: the attempt's handler owns this run.
    DispatchResult lastResult;

    bool isIdempotent() const
    {
        return admitted.route->idempotent;
    }
    int maxAttempts() const
    {
        return isIdempotent() ? std::max(1, admitted.route->maxAttempts) : 1;
    }
};

RequestRunner::RequestRunner(Loop *loop, Authority *authority, LocalSender *sender, Forwarder *forwarder,
                             RemoteCapacity *capacity, RequestStatistics *statistics, std::uint64_t seed)
    : m_loop(loop)
    , m_authority(authority)
    , m_sender(sender)
    , m_forwarder(forwarder)
    , m_capacity(capacity)
    , m_statistics(statistics)
    , m_nodeChooser(seed)
    , m_random(seed + 1)
{
}

void RequestRunner::setPolicy(const RequestPolicy &policy)
{
    m_policy = policy;
}

void RequestRunner::run(const AdmittedRequest &admitted, Handler handler)
{
    const RunPtr run = std::make_shared<Run>();
    run->admitted = admitted;
    run->handler = std::move(handler);
    run->started = m_loop->now();
    m_pools[admitted.pool->name].budget.deposit(admitted.pool->retryBudget);
    if (run->started >= admitted.deadline) {
        run->lastResult = notRun(ErrorKind::DeadlineExceeded, "the deadline passed before the request was sent");
    } else if (startAttempt(run)) {
        scheduleHedge(run);
        return;
    } else {
        run->lastResult = notRun(ErrorKind::NoCapacity, "no owner of an endpoint of the pool is known");
    }
    m_loop->post([this, run] {
        finish(run, run->lastResult);
    });
}

bool RequestRunner::startAttempt(const RunPtr &run)
{
    const std::optional<NodeId> node = chooseNode(run);
    if (!node) {
        return false;
    }
    assertInvariant(run->isIdempotent() || run->inDoubtAttempts == 0, Invariant::SendOnce,
                    "request=" + run->admitted.request.id);
    ++run->attempts;
    ++run->openAttempts;
    ++run->inDoubtAttempts;
    run->lastNode = *node;
    const AttemptPtr attempt = makeAttempt(run, *node);
    run->lastAttempt = attempt;
    if (*node == m_authority->self()) {
        m_sender->submit(attempt);
    } else {
        m_capacity->countForward(*node, run->admitted.pool->name);
        m_forwarder->forward(*node, m_random.uniqueId(), attempt);
    }
    return true;
}

std::optional<NodeId> RequestRunner::chooseNode(const RunPtr &run)
{
    const Pool &pool = *run->admitted.pool;
    const RemoteCapacity::Candidate self{m_authority->self(), m_sender->load(pool), 0};
    std::vector<RemoteCapacity::Candidate> others;
    if (m_policy.forwarding) {
        others = m_capacity->candidates(pool.name);
    }
    return m_nodeChooser.choose(self, others, run->avoidNodes, run->admitted.record.get());
}

RequestRunner::AttemptPtr RequestRunner::makeAttempt(const RunPtr &run, const NodeId &node)
{
    auto attempt = std::make_shared<LocalAttempt>();
    attempt->request = run->admitted.request;
    attempt->pool = run->admitted.pool->name;
    attempt->deadline = run->admitted.deadline;
    attempt->urgency = requestUrgency(run->admitted.request);
    attempt->idempotent = run->isIdempotent();
    attempt->avoid = run->avoidWorkers;
    attempt->record = run->admitted.record;
    attempt->handler = [this, run, node](const DispatchResult &result) {
        onResult(run, node, result);
    };
    return attempt;
}

void RequestRunner::onResult(const RunPtr &run, const NodeId &node, const DispatchResult &result)
{
    --run->openAttempts;
    if (isNotRun(result)) {
        --run->inDoubtAttempts;
    }
    if (run->finished) {
        return;
    }
    if (result.ok && (!isServerError(result) || !run->isIdempotent())) {
        finish(run, result);
        return;
    }
    // A server's error response is kept over a later refusal, since it tells the caller more.
    if (!isServerError(run->lastResult) || isServerError(result)) {
        run->lastResult = result;
    }
    if (!result.worker.empty()) {
        run->avoidWorkers.push_back(result.worker);
    } else {
        run->avoidNodes.insert(node);
        if (node != m_authority->self() && result.error != ErrorKind::NoCapacity) {
            m_capacity->invalidate(node);
        }
    }
    if (mayRetry(run, result) && startAttempt(run)) {
        ++m_statistics->retries;
        return;
    }
    if (run->openAttempts == 0) {
        finish(run, run->lastResult);
    }
}

bool RequestRunner::mayRetry(const RunPtr &run, const DispatchResult &result)
{
    if (m_loop->now() >= run->admitted.deadline) {
        return false;
    }
    RetryBudget &budget = m_pools[run->admitted.pool->name].budget;
    if (!isNotRun(result)) {
        return run->isIdempotent() && run->attempts - run->reroutes < run->maxAttempts() && budget.tryWithdraw();
    }
    if (run->reroutes >= maxReroutes) {
        return false;
    }
    ++run->reroutes;
    return result.worker.empty() || budget.tryWithdraw();
}

void RequestRunner::scheduleHedge(const RunPtr &run)
{
    if (!m_policy.hedging || run->maxAttempts() < 2) {
        return;
    }
    const Duration half = (run->admitted.deadline - run->started) / 2;
    const double slowMs = m_pools[run->admitted.pool->name].latencyWindow.slowThreshold();
    Duration delay = half;
    if (slowMs > 0) {
        const Duration slow = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(slowMs));
        delay = std::min(half, std::max<Duration>(slow, minHedgeDelay));
    }
    m_loop->postAfter(delay, [this, run] {
        hedge(run);
    });
}

bool RequestRunner::hasFreeSlotsForHedge(const Pool &pool)
{
    PoolLoad sum = m_sender->load(pool);
    for (const RemoteCapacity::Candidate &it : m_capacity->candidates(pool.name)) {
        sum.freeSlots += it.load.freeSlots;
        sum.totalSlots += it.load.totalSlots;
    }
    return sum.freeSlots >= minFreeSlotShare * sum.totalSlots;
}

void RequestRunner::hedge(const RunPtr &run)
{
    if (run->finished || run->openAttempts != 1 || run->attempts - run->reroutes >= run->maxAttempts()) {
        return;
    }
    if (!hasFreeSlotsForHedge(*run->admitted.pool) || !m_pools[run->admitted.pool->name].budget.tryWithdraw()) {
        return;
    }
    const AttemptPtr attempt = run->lastAttempt.lock();
    if (attempt && !attempt->sentTo.empty()) {
        run->avoidWorkers.push_back(attempt->sentTo);
    } else {
        run->avoidNodes.insert(run->lastNode);
    }
    if (startAttempt(run)) {
        ++m_statistics->hedges;
    }
}

void RequestRunner::finish(const RunPtr &run, DispatchResult result)
{
    run->finished = true;
    if (result.ok) {
        m_pools[run->admitted.pool->name].latencyWindow.add(toMs(m_loop->now() - run->started));
    } else if (run->inDoubtAttempts > 0) {
        result.outcome = RunOutcome::Unknown;
    }
    result.requestId = run->admitted.request.id;
    result.attempts = run->attempts;
    run->admitted.record->steps.push_back(
        {"result", "", result.ok ? std::to_string(result.response.status) : errorKindName(result.error), {}});
    run->handler(result);
}

} // namespace fescueledge
