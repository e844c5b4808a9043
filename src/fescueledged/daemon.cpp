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
#include "nodegather_pvt.h"
#include "operatorapi_pvt.h"
#include "operatorlistener_pvt.h"
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
constexpr Milliseconds balancerGrace{1000};
constexpr Milliseconds drainPoll{20};

std::uint64_t freshSeed()
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

NodeIdentity identityOf(const DaemonSettings &settings)
{
    return NodeIdentity{settings.node.name, settings.node.dataCentre, settings.listen.peer, settings.listen.caller};
}

} // namespace

/// Members are destroyed in reverse order: the listeners first, the loop's users while the loop is stopped.
struct Daemon::Parts
{
    explicit Parts(const DaemonSettings &s)
        : settings(s)
        , token(operatorToken(s.operatorAccess))
        , platformPool(platformThreads)
        , workerPool(workerThreads)
        , endpointPool(endpointThreads)
        , table(&loop, &platformPool, s.platform.tableService, s.platform.tableTimeout)
        , vmList(&loop, &platformPool, s.platform.vmList, s.platform.vmListTimeout)
        , agent(&loop, &workerPool, connectTimeout)
        , endpoints(&loop, &endpointPool, connectTimeout)
        , transport(&loop, s.node.name, s.listen.peer, sha256Hex("peer:" + token))
        , vms(&loop, &vmList)
        , control(
              &loop, &table, &vms, &transport, &parser, s.node.name, leaseTimings(s),
              [] {
                  return std::chrono::system_clock::now();
              },
              freshSeed())
        , authority(&loop, &table, &vms, &transport, &control, identityOf(s), leaseTimings(s), freshSeed())
        , queue(&loop, &table, &transport, &authority, freshSeed())
        , workers(&loop, &agent, &transport, &authority, &vms, workerTimings(s), freshSeed())
        , dispatcher(&loop, &endpoints, &transport, &table, &authority, &workers, freshSeed())
        , gather(&transport, &authority)
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
        context.gather = &gather;
        context.vms = &vms;
        context.transport = &transport;
        context.operatorToken = token;
    }

    /// Starts the systems; on the loop.
    void start()
    {
        transport.setAddressLookup([this](const NodeId &node) {
            return authority.peerAddress(node);
        });
        authority.setReleaseCheck([this](const ShardId &shard) {
            return dispatcher.inFlightOfShard(shard) == 0;
        });
        dispatcher.setDataCentre(settings.node.dataCentre);
        setViewSources(&gather, &context);
        vms.start();
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
    HttpTableService table;
    HttpVmList vmList;
    HttpWorkerAgent agent;
    HttpEndpointClient endpoints;
    WebsocketTransport transport;
    TableControlParser parser;
    VmPoller vms;
    ControlRegister control;
    NodeAuthority authority;
    JobQueue queue;
    WorkerController workers;
    RequestDispatcher dispatcher;
    NodeGather gather;
    std::unique_ptr<CallerListener> callers;
    std::unique_ptr<OperatorListener> operators;
};

Daemon::Daemon(const DaemonSettings &settings)
    : m_parts(std::make_unique<Parts>(settings))
{
    m_parts->fillContext();
    m_parts->loop.post([parts = m_parts.get()] {
        parts->start();
    });
    m_parts->callers = std::make_unique<CallerListener>(&m_parts->context, settings.listen.caller, settings.limits);
    m_parts->operators =
        std::make_unique<OperatorListener>(&m_parts->context, settings.listen.operatorAddress, settings.limits);
    LOG(INFO) << "daemon_started node=" << settings.node.name << " data_centre=" << settings.node.dataCentre
              << " callers=" << settings.listen.caller << " operators=" << settings.listen.operatorAddress;
}

Daemon::~Daemon()
{
    m_parts->callers.reset();
    m_parts->operators.reset();
    m_parts->loop.stop();
}

bool Daemon::drain(bool (*abort)())
{
    const TimePoint limit = Clock::now() + m_parts->settings.limits.drain;
    LOG(INFO) << "drain_started node=" << m_parts->settings.node.name;
    m_parts->context.draining = true;
    const auto waitFor = [&](const std::function<bool()> &done) {
        while (!done() && Clock::now() < limit && !abort()) {
            std::this_thread::sleep_for(drainPoll);
        }
        return done();
    };
    const TimePoint graceEnds = Clock::now() + balancerGrace;
    waitFor([graceEnds] {
        return Clock::now() >= graceEnds;
    });

    auto requestsDone = std::make_shared<std::atomic<bool>>(false);
    m_parts->loop.post([parts = m_parts.get(), requestsDone] {
        parts->dispatcher.drain([requestsDone] {
            *requestsDone = true;
        });
    });
    const bool answered = waitFor([requestsDone] {
        return requestsDone->load();
    });
    m_parts->callers->stop();

    auto handedOver = std::make_shared<std::atomic<bool>>(false);
    m_parts->loop.post([parts = m_parts.get(), handedOver] {
        parts->authority.drain([handedOver] {
            *handedOver = true;
        });
    });
    const bool released = waitFor([handedOver] {
        return handedOver->load();
    });
    LOG(INFO) << "drain_ended node=" << m_parts->settings.node.name << " answered=" << answered
              << " released=" << released;
    return answered && released;
}

} // namespace fescueledge
