#include "fescueledge/requestdispatcher.h"

#include "decisionlog_pvt.h"
#include "forwarder_pvt.h"
#include "localsender_pvt.h"
#include "orderlog_pvt.h"
#include "requestrunner_pvt.h"
#include "routematcher_pvt.h"

#include "fescueledge/authority.h"
#include "fescueledge/loop.h"

#include <algorithm>
#include <glog/logging.h>

namespace fescueledge {

namespace {

constexpr Milliseconds tickInterval{20};
constexpr Milliseconds customerLimitRetryDelay{100};
/// Minimum length of a drain: other nodes may forward requests until they receive the notice that this node has no
/// capacity.
constexpr Milliseconds minDrainDelay{1000};
/// Longest time, from the start of a drain, that it waits for the final rows of answered keyed requests.
constexpr Milliseconds drainOrderTimeout{10000};

} // namespace

struct RequestDispatcher::Private
{
    Private(Loop *loop, EndpointClient *client, PeerTransport *transport, TableService *table, Authority *authority,
            EndpointDirectory *directory, std::uint64_t seed)
        : loop(loop)
        , authority(authority)
        , random(seed)
        , sender(loop, client, authority, directory, &statistics, seed + 1)
        , forwarder(loop, transport, &sender, &statistics)
        , capacity(loop, transport, authority)
        , runner(loop, authority, &sender, &forwarder, &capacity, &statistics, seed + 2)
        , orders(loop, transport, table, authority, &statistics, seed + 4)
    {
    }

    std::map<std::string, PoolLoad> loads();
    void tick();
    DispatchResult admit(const ServiceRequest &request, std::optional<Milliseconds> callerDeadline,
                         AdmittedRequest &admitted);
    void runKeyed(const AdmittedRequest &admitted, const Handler &handler);
    void onResult(const AdmittedRequest &admitted, const DispatchResult &result, const Handler &handler);
    void refuse(const std::string &requestId, DispatchResult result, const Handler &handler);
    void checkDrained();

    Loop *loop;
    Authority *authority;
    Random random;
    RequestPolicy policy;
    RequestStatistics statistics;
    LocalSender sender;
    Forwarder forwarder;
    RemoteCapacity capacity;
    RequestRunner runner;
    OrderLog orders;
    DecisionLog decisions;
    std::map<std::pair<std::string, std::string>, int> inFlightOfCustomer; ///< By pool and customer.
    bool draining = false;
    bool hasMinDrainDelayElapsed = false;
    bool hasOrderTimeoutElapsed = false;
    std::function<void()> drainHandler;
};

RequestDispatcher::RequestDispatcher(Loop *loop, EndpointClient *client, PeerTransport *transport, TableService *table,
                                     Authority *authority, EndpointDirectory *directory, std::uint64_t seed)
    : m_private(std::make_unique<Private>(loop, client, transport, table, authority, directory, seed))
{
}

RequestDispatcher::~RequestDispatcher() = default;

void RequestDispatcher::setPolicy(const RequestPolicy &policy)
{
    m_private->policy = policy;
    m_private->sender.setPolicy(policy);
    m_private->runner.setPolicy(policy);
}

void RequestDispatcher::setDataCentre(const DataCentreId &dataCentre)
{
    m_private->capacity.setDataCentre(dataCentre);
}

void RequestDispatcher::start()
{
    const auto onIdle = [this] {
        m_private->checkDrained();
    };
    m_private->forwarder.setIdleHandler(onIdle);
    m_private->orders.setIdleHandler(onIdle);
    m_private->forwarder.start();
    m_private->orders.start();
    m_private->capacity.start(m_private->policy.capacityNoticeInterval, [this] {
        return m_private->loads();
    });
    m_private->tick();
}

std::map<std::string, PoolLoad> RequestDispatcher::Private::loads()
{
    std::map<std::string, PoolLoad> loads;
    if (draining) {
        return loads;
    }
    for (const Pool &pool : authority->control()->pools) {
        const PoolLoad load = sender.load(pool);
        if (load.totalSlots > 0) {
            loads[pool.name] = load;
        }
    }
    return loads;
}

void RequestDispatcher::Private::tick()
{
    sender.tick();
    loop->postAfter(tickInterval, [this] {
        tick();
    });
}

void RequestDispatcher::dispatch(const ServiceRequest &request, std::optional<Milliseconds> callerDeadline,
                                 const Handler &handler)
{
    ++m_private->statistics.requests;
    AdmittedRequest admitted;
    admitted.request = request;
    if (admitted.request.id.empty()) {
        admitted.request.id = m_private->random.uniqueId();
    }
    const DispatchResult refusal = m_private->admit(admitted.request, callerDeadline, admitted);
    if (admitted.route == nullptr) {
        m_private->refuse(admitted.request.id, refusal, handler);
        return;
    }
    ++m_private->statistics.inFlight;
    ++m_private->inFlightOfCustomer[{admitted.pool->name, request.customer}];
    if (!request.key.empty() && !admitted.route->idempotent) {
        m_private->runKeyed(admitted, handler);
        return;
    }
    m_private->runner.run(admitted, [this, admitted, handler](const DispatchResult &result) {
        m_private->onResult(admitted, result, handler);
    });
}

DispatchResult RequestDispatcher::Private::admit(const ServiceRequest &request,
                                                 std::optional<Milliseconds> callerDeadline, AdmittedRequest &admitted)
{
    if (draining) {
        return notRun(ErrorKind::ShuttingDown, "this node drains");
    }
    admitted.control = authority->control();
    const Route *route = matchRoute(admitted.control->routes, request);
    if (route == nullptr) {
        return notRun(ErrorKind::NoRoute, "no route matches " + request.method + " " + request.path);
    }
    admitted.pool = admitted.control->findPool(route->pool);
    if (admitted.pool == nullptr) {
        return notRun(ErrorKind::NoRoute, "route " + route->name + " names no known pool");
    }
    const auto it = inFlightOfCustomer.find({admitted.pool->name, request.customer});
    const int inFlight = it == inFlightOfCustomer.end() ? 0 : it->second;
    if (admitted.pool->customerLimit > 0 && inFlight >= admitted.pool->customerLimit) {
        ++statistics.refusedByLimit;
        DispatchResult refusal = notRun(ErrorKind::LimitExceeded, "limit of customer " + request.customer);
        refusal.retryAfter = customerLimitRetryDelay;
        return refusal;
    }
    admitted.deadline = loop->now() + std::min(route->deadline, callerDeadline.value_or(route->deadline));
    admitted.record = decisions.addRecord(request.id, route->name, admitted.pool->name);
    admitted.route = route;
    return DispatchResult();
}

void RequestDispatcher::Private::runKeyed(const AdmittedRequest &admitted, const Handler &handler)
{
    orders.begin(admitted.request, admitted.deadline, [this, admitted, handler](const DispatchResult *answer) {
        if (answer != nullptr) {
            DispatchResult result = *answer;
            result.requestId = admitted.request.id;
            onResult(admitted, result, handler);
            return;
        }
        runner.run(admitted, [this, admitted, handler](const DispatchResult &result) {
            orders.settle(admitted.request, result);
            onResult(admitted, result, handler);
        });
    });
}

void RequestDispatcher::Private::onResult(const AdmittedRequest &admitted, const DispatchResult &result,
                                          const Handler &handler)
{
    --statistics.inFlight;
    const auto it = inFlightOfCustomer.find({admitted.pool->name, admitted.request.customer});
    if (--it->second == 0) {
        inFlightOfCustomer.erase(it);
    }
    if (result.ok) {
        ++statistics.succeeded;
    } else {
        ++statistics.failed;
    }
    if (!result.ok && !admitted.request.key.empty() && result.outcome == RunOutcome::Unknown) {
        ++statistics.unknownOrders;
        LOG(WARNING) << "order_outcome_unknown request=" << admitted.request.id << " message=" << result.message;
    }
    handler(result);
    checkDrained();
}

void RequestDispatcher::Private::refuse(const std::string &requestId, DispatchResult result, const Handler &handler)
{
    ++statistics.failed;
    result.requestId = requestId;
    loop->post([result, handler] {
        handler(result);
    });
}

void RequestDispatcher::drain(std::function<void()> done)
{
    m_private->draining = true;
    m_private->drainHandler = std::move(done);
    m_private->forwarder.stopServing();
    m_private->loop->postAfter(drainOrderTimeout, [this] {
        m_private->hasOrderTimeoutElapsed = true;
        m_private->checkDrained();
    });
    m_private->capacity.broadcastNotice();
    m_private->loop->postAfter(minDrainDelay, [this] {
        m_private->hasMinDrainDelayElapsed = true;
        m_private->checkDrained();
    });
}

void RequestDispatcher::Private::checkDrained()
{
    if (!drainHandler || !hasMinDrainDelayElapsed || statistics.inFlight > 0 || forwarder.serving() > 0) {
        return;
    }
    if (orders.unsettled() > 0 && !hasOrderTimeoutElapsed) {
        return;
    }
    const std::function<void()> done = std::move(drainHandler);
    drainHandler = nullptr;
    loop->post(done);
}

int RequestDispatcher::inFlight(const WorkerId &worker) const
{
    return m_private->sender.endpoints().inFlight(worker);
}

int RequestDispatcher::inFlightOfShard(const ShardId &shard) const
{
    return m_private->sender.endpoints().inFlightOfShard(shard);
}

std::optional<DecisionRecord> RequestDispatcher::explain(const std::string &requestId) const
{
    return m_private->decisions.find(requestId);
}

RequestStatistics RequestDispatcher::statistics() const
{
    RequestStatistics statistics = m_private->statistics;
    statistics.queued = static_cast<std::uint64_t>(m_private->sender.queued());
    statistics.ejected = static_cast<std::uint64_t>(m_private->sender.endpoints().ejectedCount(m_private->loop->now()));
    statistics.ordersUnsettled = static_cast<std::uint64_t>(m_private->orders.unsettled());
    return statistics;
}

} // namespace fescueledge
