#include "daemon_pvt.h"

#include "callerlistener_pvt.h"
#include "daemoncontext_pvt.h"
#include "fescueledge/controlregister.h"
#include "fescueledge/daemonsettings.h"
#include "fescueledge/digest.h"
#include "fescueledge/eventloop.h"
#include "fescueledge/httpendpointclient.h"
#include "fescueledge/httptableservice.h"
#include "fescueledge/httpvmlist.h"
#include "fescueledge/httpworkeragent.h"
#include "fescueledge/iopool.h"
#include "fescueledge/jobqueue.h"
#include "fescueledge/leasetimings.h"
#include "fescueledge/nodeauthority.h"
#include "fescueledge/nodeidentity.h"
#include "fescueledge/requestdispatcher.h"
#include "fescueledge/settingsparser.h"
#include "fescueledge/vmpoller.h"
#include "fescueledge/websockettransport.h"
#include "fescueledge/workercontroller.h"
#include "fescueledge/workertimings.h"
#include "operatorapi_pvt.h"
#include "operatorlistener_pvt.h"
#include "peerquery_pvt.h"
#include "tablecontrolparser_pvt.h"

#include <atomic>
#include <glog/logging.h>
#include <random>
#include <thread>

namespace fescueledge {

namespace {

constexpr int platformThreads = 16;
constexpr int workerThreads = 32;
constexpr int endpointThreads = 96;
constexpr Milliseconds connectTimeout{250};
constexpr Milliseconds balancerGraceDelay{1000};
constexpr Milliseconds drainPollInterval{20};

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

LeaseTimings leaseTimings(const DaemonSettings &settings)
{
    LeaseTimings timings;
    timings.storeLease = settings.leases.store;
    timings.grant = settings.leases.grant;
    timings.driftAllowance = settings.leases.driftPercent / 100.0;
    return timings;
}

WorkerTimings workerTimings(const DaemonSettings &settings)
{
    WorkerTimings timings;
    timings.workerLease = settings.leases.worker;
    timings.exchangeTimeout = settings.platform.workerTimeout;
    timings.maxClockDrift = settings.leases.driftPercent / 100.0;
    return timings;
}

NodeIdentity nodeIdentity(const DaemonSettings &settings)
{
    return NodeIdentity{settings.node.name, settings.node.dataCentre, settings.listen.peer, settings.listen.caller};
}

} // namespace

/// Members are destroyed in reverse order: the listeners first, then the components that use the loop, which is
/// stopped by then.
struct Daemon::Parts
{
    explicit Parts(const DaemonSettings &s)
        : settings(s)
        , token(operatorToken(s.operatorAccess))
        , platformPool(platformThreads)
        , workerPool(workerThreads)
        , endpointPool(endpointThreads)
        , tableService(&loop, &platformPool, s.platform.tableService, s.platform.tableTimeout)
        , vmList(&loop, &platformPool, s.platform.vmList, s.platform.vmListTimeout)
        , workerAgent(&loop, &workerPool, connectTimeout)
        , endpointClient(&loop, &endpointPool, connectTimeout)
        , transport(&loop, s.node.name, s.listen.peer, sha256Hex("peer:" + token))
        , vmPoller(&loop, &vmList)
        , control(
              &loop, &tableService, &vmPoller, &transport, &parser, s.node.name, leaseTimings(s),
              [] {
                  return std::chrono::system_clock::now();
              },
              randomSeed())
        , authority(&loop, &tableService, &vmPoller, &transport, &control, nodeIdentity(s), leaseTimings(s),
                    randomSeed())
        , queue(&loop, &tableService, &transport, &authority, randomSeed())
        , workers(&loop, &workerAgent, &transport, &authority, &vmPoller, workerTimings(s), randomSeed())
        , dispatcher(&loop, &endpointClient, &transport, &tableService, &authority, &workers, randomSeed())
        , peerQuery(&transport, &authority)
    {
    }

    void fillContext()
    {
        context.loop = &loop;
        context.control = &control;
        context.authority = &authority;
        context.queue = &queue;
        context.workers = &workers;
        context.dispatcher = &dispatcher;
        context.peerQuery = &peerQuery;
        context.vms = &vmPoller;
        context.transport = &transport;
        context.operatorToken = token;
    }

    /// Starts the components. Must run on the loop.
    void start()
    {
        transport.setAddressLookup([this](const NodeId &node) {
            return authority.peerAddress(node);
        });
        authority.setReleaseCheck([this](const ShardId &shard) {
            return dispatcher.inFlightOfShard(shard) == 0;
        });
        dispatcher.setDataCentre(settings.node.dataCentre);
        setViewAnswerFunctions(&peerQuery, &context);
        vmPoller.start();
        workers.start();
        queue.start();
        dispatcher.start();
        authority.start();
    }

    DaemonSettings settings;
    std::string token;
    DaemonContext context;
    EventLoop loop;
    IoPool platformPool;
    IoPool workerPool;
    IoPool endpointPool;
    HttpTableService tableService;
    HttpVmList vmList;
    HttpWorkerAgent workerAgent;
    HttpEndpointClient endpointClient;
    WebsocketTransport transport;
    TableControlParser parser;
    VmPoller vmPoller;
    ControlRegister control;
    NodeAuthority authority;
    JobQueue queue;
    WorkerController workers;
    RequestDispatcher dispatcher;
    PeerQuery peerQuery;
    std::unique_ptr<CallerListener> callerListener;
    std::unique_ptr<OperatorListener> operatorListener;
};

Daemon::Daemon(const DaemonSettings &settings)
    : m_parts(std::make_unique<Parts>(settings))
{
    m_parts->fillContext();
    m_parts->loop.post([parts = m_parts.get()] {
        parts->start();
    });
    m_parts->callerListener =
        std::make_unique<CallerListener>(&m_parts->context, settings.listen.caller, settings.limits);
    m_parts->operatorListener =
        std::make_unique<OperatorListener>(&m_parts->context, settings.listen.operatorAddress, settings.limits);
    LOG(INFO) << "daemon_started node=" << settings.node.name << " data_centre=" << settings.node.dataCentre
              << " callers=" << settings.listen.caller << " operators=" << settings.listen.operatorAddress;
}

Daemon::~Daemon()
{
    m_parts->callerListener.reset();
    m_parts->operatorListener.reset();
    m_parts->loop.stop();
}

bool Daemon::drain(bool (*isAborted)())
{
    const TimePoint deadline = Clock::now() + m_parts->settings.limits.drain;
    LOG(INFO) << "drain_started node=" << m_parts->settings.node.name;
    m_parts->context.draining = true;
    const auto waitFor = [&](const std::function<bool()> &done) {
        while (!done() && Clock::now() < deadline && !isAborted()) {
            std::this_thread::sleep_for(drainPollInterval);
        }
        return done();
    };
    const TimePoint graceEnd = Clock::now() + balancerGraceDelay;
    waitFor([graceEnd] {
        return Clock::now() >= graceEnd;
    });

    auto requestsFinished = std::make_shared<std::atomic<bool>>(false);
    m_parts->loop.post([parts = m_parts.get(), requestsFinished] {
        parts->dispatcher.drain([requestsFinished] {
            *requestsFinished = true;
        });
    });
    const bool answered = waitFor([requestsFinished] {
        return requestsFinished->load();
    });
    m_parts->callerListener->stop();

    auto shardsReleased = std::make_shared<std::atomic<bool>>(false);
    m_parts->loop.post([parts = m_parts.get(), shardsReleased] {
        parts->authority.drain([shardsReleased] {
            *shardsReleased = true;
        });
    });
    const bool released = waitFor([shardsReleased] {
        return shardsReleased->load();
    });
    LOG(INFO) << "drain_ended node=" << m_parts->settings.node.name << " answered=" << answered
              << " released=" << released;
    return answered && released;
}

} // namespace fescueledge
