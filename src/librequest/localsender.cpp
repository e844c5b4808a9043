#include "localsender_pvt.h"

#include "fescueledge/authority.h"
#include "fescueledge/controlstate.h"
#include "fescueledge/loop.h"

#include <algorithm>

namespace fescueledge {

namespace {

/// Header that tells the endpoint how long the caller still waits.
const char *const timeoutHeader = "x-request-timeout-ms";
/// Time that an endpoint may take to give up a request after its timeout.
constexpr Milliseconds abandonedLinger{1000};
constexpr int serverErrorStatus = 500;

bool contains(const std::vector<WorkerId> &workers, const WorkerId &worker)
{
    return std::find(workers.begin(), workers.end(), worker) != workers.end();
}

DispatchResult toDispatchResult(const SendResult &result)
{
    DispatchResult out;
    out.ok = result.ok;
    out.response = result.response;
    out.outcome = result.ok ? RunOutcome::Ran : result.outcome;
    out.error = result.outcome == RunOutcome::NotRun ? ErrorKind::EndpointUnreachable : ErrorKind::EndpointFailed;
    out.message = result.detail;
    return out;
}

} // namespace

DispatchResult notRun(ErrorKind error, const std::string &message)
{
    DispatchResult result;
    result.error = error;
    result.message = message;
    result.outcome = RunOutcome::NotRun;
    return result;
}

/// One send that has not been answered yet.
struct LocalSender::Sent
{
    AttemptPtr attempt;
    WorkerId worker;
    TimePoint sentAt;
};

LocalSender::LocalSender(Loop *loop, EndpointClient *client, Authority *authority, const EndpointDirectory *directory,
                         RequestStatistics *statistics, std::uint64_t seed)
    : m_loop(loop)
    , m_client(client)
    , m_authority(authority)
    , m_statistics(statistics)
    , m_endpoints(directory)
    , m_random(seed)
{
}

void LocalSender::setPolicy(const RequestPolicy &policy)
{
    m_policy = policy;
    m_endpoints.ejectionEnabled = policy.ejection;
}

const Pool *LocalSender::findPool(const std::string &name) const
{
    return m_authority->control()->findPool(name);
}

void LocalSender::submit(const AttemptPtr &attempt)
{
    const Pool *pool = findPool(attempt->pool);
    if (pool == nullptr) {
        refuse(attempt, ErrorKind::NoRoute, "no pool " + attempt->pool);
        return;
    }
    if (m_queues[pool->name].ahead(attempt->urgency) == 0 && trySend(attempt, *pool)) {
        return;
    }
    enqueue(attempt, *pool);
}

bool LocalSender::trySend(const AttemptPtr &attempt, const Pool &pool)
{
    m_endpoints.refresh(pool.name, m_loop->now());
    const EndpointState *endpoint = chooseEndpoint(attempt, pool);
    if (endpoint == nullptr) {
        return false;
    }
    std::optional<Epoch> epoch = m_authority->ownedEpoch(endpoint->entry.shard);
    if (!epoch || *epoch != endpoint->entry.epoch) {
        m_endpoints.refresh(pool.name, m_loop->now(), true);
        endpoint = chooseEndpoint(attempt, pool);
        if (endpoint == nullptr) {
            return false;
        }
        epoch = m_authority->ownedEpoch(endpoint->entry.shard);
    }
    if (!epoch || *epoch != endpoint->entry.epoch) {
        refuse(attempt, ErrorKind::NotActing, "this node may not act for " + endpoint->entry.shard);
        return true;
    }
    send(attempt, *endpoint, *epoch, pool);
    return true;
}

const EndpointState *LocalSender::chooseEndpoint(const AttemptPtr &attempt, const Pool &pool)
{
    const TimePoint now = m_loop->now();
    DecisionStep step{"endpoint", m_policy.choice->measure(), "", {}};
    std::vector<EndpointState *> free;
    std::vector<EndpointState *> avoided;
    for (EndpointState *it : m_endpoints.listed(pool.name)) {
        const char *reason = EndpointTable::exclusionReason(*it, pool, attempt->idempotent, now);
        if (*reason != '\0') {
            if (attempt->record) {
                step.candidates.push_back({it->entry.worker, 0, reason});
            }
        } else if (contains(attempt->avoid, it->entry.worker)) {
            avoided.push_back(it);
        } else {
            free.push_back(it);
        }
    }
    const EndpointState *chosen = pick(attempt, free.empty() ? avoided : free, pool, step);
    if (attempt->record && chosen != nullptr) {
        step.chosen = chosen->entry.worker;
        attempt->record->steps.push_back(std::move(step));
    }
    return chosen;
}

const EndpointState *LocalSender::pick(const AttemptPtr &attempt, const std::vector<EndpointState *> &free,
                                       const Pool &pool, DecisionStep &step)
{
    if (free.empty()) {
        return nullptr;
    }
    const TimePoint now = m_loop->now();
    std::vector<EndpointCandidate> candidates;
    candidates.reserve(free.size());
    for (EndpointState *it : free) {
        candidates.push_back(m_endpoints.candidate(*it, pool, now));
        if (attempt->record) {
            step.candidates.push_back({it->entry.worker, m_policy.choice->cost(candidates.back()), ""});
        }
        if (it->outlier.state(now) == OutlierDetector::State::Probing) {
            return it;
        }
    }
    return free[m_policy.choice->choose(candidates, m_random)];
}

void LocalSender::send(const AttemptPtr &attempt, const EndpointState &endpoint, Epoch epoch, const Pool &pool)
{
    const TimePoint now = m_loop->now();
    const Milliseconds timeout =
        std::max(Milliseconds(1), std::chrono::duration_cast<Milliseconds>(attempt->deadline - now));
    m_endpoints.acquire(endpoint.entry.worker, pool, now);
    ++m_statistics->sends;
    attempt->sentTo = endpoint.entry.worker;
    attempt->request.headers[timeoutHeader] = std::to_string(timeout.count());
    const Sent sent{attempt, endpoint.entry.worker, now};
    const TimePoint sendBefore = std::min(m_authority->actUntil(), attempt->deadline);
    m_client->send(endpoint.entry.address, epoch, attempt->request, sendBefore, timeout,
                   [this, sent](const SendResult &result) {
                       onResult(sent, result);
                   });
}

void LocalSender::onResult(const Sent &sent, const SendResult &result)
{
    const TimePoint now = m_loop->now();
    const bool success = result.ok && result.response.status < serverErrorStatus;
    if (m_endpoints.addResult(sent.worker, success, sent.sentAt, now)) {
        ++m_statistics->ejections;
    }
    const std::string pool = sent.attempt->pool;
    if (result.ok || result.outcome == RunOutcome::NotRun) {
        m_endpoints.release(sent.worker, sent.sentAt);
    } else {
        // The endpoint may still run it: its slot stays taken until the endpoint must have given up.
        const Duration hold = std::max(Duration::zero(), sent.attempt->deadline - now) + abandonedLinger;
        m_loop->postAfter(hold, [this, sent, pool] {
            m_endpoints.release(sent.worker, sent.sentAt);
            pump(pool);
        });
    }
    DispatchResult out = toDispatchResult(result);
    if (!out.ok && now >= sent.attempt->deadline) {
        out.error = ErrorKind::DeadlineExceeded;
    }
    out.worker = sent.worker;
    out.node = m_authority->self();
    sent.attempt->handler(out);
    pump(pool);
}

void LocalSender::enqueue(const AttemptPtr &attempt, const Pool &pool)
{
    RequestQueue &queue = m_queues[pool.name];
    const PoolLoad current = load(pool);
    if (current.totalSlots == 0) {
        refuse(attempt, ErrorKind::NoCapacity,
               "this node owns no endpoint of pool " + pool.name + " that takes requests");
        return;
    }
    if (wouldWaitTooLong(attempt, pool, queue.ahead(attempt->urgency))) {
        refuse(attempt, ErrorKind::NoCapacity, "the wait for a slot would pass the deadline");
        return;
    }
    if (queue.size() >= static_cast<std::size_t>(std::max(0, pool.queue))) {
        const AttemptPtr victim = queue.shed(attempt->urgency);
        if (!victim) {
            refuse(attempt, ErrorKind::NoCapacity, "the queue of pool " + pool.name + " is full");
            return;
        }
        refuse(victim, ErrorKind::NoCapacity, "shed for a more urgent request");
    }
    queue.push(attempt);
}

bool LocalSender::wouldWaitTooLong(const AttemptPtr &attempt, const Pool &pool, std::size_t ahead)
{
    const double medianMs = m_endpoints.window(pool.name).median();
    const int slots = std::max(1, load(pool).totalSlots);
    const double waitMs = medianMs * static_cast<double>(ahead + 1) / slots;
    return waitMs + medianMs > toMs(attempt->deadline - m_loop->now());
}

void LocalSender::pump(const std::string &name)
{
    RequestQueue &queue = m_queues[name];
    const Pool *pool = findPool(name);
    while (!queue.isEmpty()) {
        if (pool == nullptr || load(*pool).totalSlots == 0) {
            refuse(queue.popFront(), ErrorKind::NoCapacity, "this node owns no endpoint of pool " + name + " any more");
            continue;
        }
        const AttemptPtr attempt = queue.front();
        if (attempt->deadline <= m_loop->now()) {
            refuse(queue.popFront(), ErrorKind::DeadlineExceeded, "no slot came free before the deadline");
            continue;
        }
        if (!trySend(attempt, *pool)) {
            return;
        }
        queue.popFront();
    }
}

void LocalSender::tick()
{
    for (auto &it : m_queues) {
        for (const AttemptPtr &attempt : it.second.takeExpired(m_loop->now())) {
            refuse(attempt, ErrorKind::DeadlineExceeded, "no slot came free before the deadline");
        }
        pump(it.first);
    }
}

void LocalSender::refuse(const AttemptPtr &attempt, ErrorKind error, const std::string &message)
{
    if (error == ErrorKind::NoCapacity || error == ErrorKind::DeadlineExceeded) {
        ++m_statistics->shed;
    }
    m_loop->post([attempt, error, message] {
        attempt->handler(notRun(error, message));
    });
}

PoolLoad LocalSender::load(const Pool &pool)
{
    PoolLoad load = m_endpoints.load(pool, m_loop->now());
    load.queued = static_cast<int>(m_queues[pool.name].size());
    return load;
}

const EndpointTable &LocalSender::endpoints() const
{
    return m_endpoints;
}

int LocalSender::queued() const
{
    int n = 0;
    for (const auto &it : m_queues) {
        n += static_cast<int>(it.second.size());
    }
    return n;
}

} // namespace fescueledge
