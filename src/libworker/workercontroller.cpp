#include "fescueledge/workercontroller.h"

#include "attemptsystem_pvt.h"
#include "capacitysystem_pvt.h"
#include "evacuationsystem_pvt.h"
#include "exchangesystem_pvt.h"
#include "fescueledge/authority.h"
#include "fescueledge/loop.h"
#include "fescueledge/peertransport.h"
#include "interferencesystem_pvt.h"
#include "inventorysystem_pvt.h"
#include "outcomereportsystem_pvt.h"
#include "placementsystem_pvt.h"
#include "preemptionsystem_pvt.h"
#include "quarantinesystem_pvt.h"
#include "reservationsystem_pvt.h"
#include "workercontext_pvt.h"

#include <glog/logging.h>

namespace fescueledge {

/// The shared context and the systems that work on it.
struct WorkerController::Systems
{
    explicit Systems(const WorkerContext &settings)
        : context(settings)
    {
    }

    void run();
    void schedule();
    void handleMessage(const PeerMessage &message, const PeerTransport::Responder &respond);
    EndpointEntry endpoint(const WorkerRow &worker) const;
    WorkerStatus status(const WorkerRow &worker) const;

    WorkerContext context;
    InventorySystem inventory{&context};
    QuarantineSystem quarantine{&context};
    AttemptSystem attempts{&context, &quarantine};
    PlacementSystem placement{&context, &quarantine};
    PreemptionSystem preemption{&context, &placement};
    ReservationSystem reservations{&context, &attempts, &placement, &preemption};
    InterferenceSystem interference{&context};
    EvacuationSystem evacuation{&context};
    ExchangeSystem exchange{&context, &attempts};
    OutcomeReportSystem outcomes{&context};
    CapacitySystem capacity{&context, &placement};
};

void WorkerController::Systems::run()
{
    inventory.run();
    attempts.run();
    quarantine.run();
    interference.run();
    evacuation.run();
    exchange.run();
    outcomes.run();
    capacity.run();
}

void WorkerController::Systems::schedule()
{
    context.loop->postAfter(context.timings.tickInterval, [this] {
        run();
        schedule();
    });
}

void WorkerController::Systems::handleMessage(const PeerMessage &message, const PeerTransport::Responder &respond)
{
    // A change of the control state or of ownership applies from the next message on, not only from the next tick.
    inventory.run();
    try {
        if (message.kind == "reserve") {
            respond({message.kind, reservations.reserve(message.body.get<ReserveRequest>())});
            return;
        }
        const bool complete = message.kind == "start" ? reservations.start(message.body.get<StartRequest>())
                                                      : reservations.control(message.body.get<ControlRequest>());
        exchange.run();
        if (complete) {
            respond({message.kind, nlohmann::json::object()});
        }
    } catch (const nlohmann::json::exception &error) {
        LOG(WARNING) << "message_malformed kind=" << message.kind << " detail=\"" << error.what() << "\"";
    }
}

EndpointEntry WorkerController::Systems::endpoint(const WorkerRow &worker) const
{
    EndpointEntry entry;
    entry.worker = worker.vm.name;
    entry.shard = worker.shard;
    entry.epoch = worker.epoch;
    entry.pool = worker.pool;
    entry.dataCentre = worker.vm.dataCentre;
    entry.address = worker.vm.endpointAddress;
    entry.acceptsNewRequests =
        worker.adopted && !worker.isLeaving() && !context.isDataCentreOut(worker) && context.mayAct(worker);
    entry.inheritedRequests = worker.inheritedRequests;
    entry.reportedP99 = worker.serviceP99;
    return entry;
}

WorkerStatus WorkerController::Systems::status(const WorkerRow &worker) const
{
    WorkerStatus status;
    status.worker = worker.vm.name;
    status.shard = worker.shard;
    status.epoch = worker.epoch;
    status.pool = worker.pool;
    status.dataCentre = worker.vm.dataCentre;
    status.adopted = worker.adopted;
    status.leaving = worker.isLeaving();
    status.quarantined = quarantine.isQuarantined(worker.vm.name);
    status.capacity = worker.vm.capacity;
    status.committed = context.tables.committed(worker.vm.name);
    status.used = worker.used;
    status.serviceP99 = worker.serviceP99;
    status.inheritedRequests = worker.inheritedRequests;
    for (const AttemptRow *row : context.tables.attemptsOn(worker.vm.name)) {
        const bool live = row->phase == AttemptRow::Phase::Running || row->phase == AttemptRow::Phase::Starting;
        status.attempts += live ? 1 : 0;
        status.throttled += live && row->cpuShare < 1 ? 1 : 0;
    }
    return status;
}

WorkerController::WorkerController(Loop *loop, WorkerAgent *agent, PeerTransport *transport, Authority *authority,
                                   VmDirectory *vmDirectory, const WorkerTimings &timings, std::uint64_t seed,
                                   const WorkerPolicy &policy)
{
    const WorkerContext context{loop,   agent,        transport, authority, vmDirectory, timings,
                                policy, Random(seed), {},        {},        {},          {}};
    m_systems = std::make_unique<Systems>(context);
}

WorkerController::~WorkerController() = default;

void WorkerController::start()
{
    Systems *systems = m_systems.get();
    for (const char *kind : {"reserve", "start", "control"}) {
        systems->context.transport->setReceiver(
            kind, [systems](const NodeId &, const PeerMessage &message, const PeerTransport::Responder &respond) {
                systems->handleMessage(message, respond);
            });
    }
    systems->run();
    systems->schedule();
}

std::vector<EndpointEntry> WorkerController::endpointsOf(const std::string &pool) const
{
    m_systems->inventory.updatePools();
    std::vector<EndpointEntry> entries;
    const std::map<WorkerId, WorkerRow> &workers = m_systems->context.tables.workers;
    for (auto it = workers.begin(); it != workers.end(); ++it) {
        if (it->second.pool == pool) {
            entries.push_back(m_systems->endpoint(it->second));
        }
    }
    return entries;
}

std::vector<WorkerStatus> WorkerController::status() const
{
    std::vector<WorkerStatus> entries;
    const std::map<WorkerId, WorkerRow> &workers = m_systems->context.tables.workers;
    for (auto it = workers.begin(); it != workers.end(); ++it) {
        entries.push_back(m_systems->status(it->second));
    }
    return entries;
}

std::vector<PlacementDecision> WorkerController::explain(const TaskId &task) const
{
    return m_systems->placement.explain(task);
}

} // namespace fescueledge
