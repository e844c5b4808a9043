#include "workertestworld_pvt.h"

namespace fescueledge {

namespace {

const char queueNode[] = "queue";
constexpr double clockRateSpread = 0.004;

} // namespace

WorkerTestNode::WorkerTestNode(FakeNetwork *network, SimWorld *world, FakeOwnership *ownership, FakeWorkerFleet *fleet,
                               const std::vector<VmEntry> *list, const NodeId &name, double clockRate)
    : loop(world, clockRate)
    , authority(ownership, &loop, world, name)
    , directory(&loop, list)
    , transport(network, &loop, name)
    , agent(fleet, &loop, name)
{
}

WorkerTestWorld::WorkerTestWorld(const WorkerTestSettings &settings)
    : network(&world, settings.seed)
    , ownership(&world)
    , fleet(&world, settings.seed + 1)
    , queueLoop(&world)
    , queueTransport(&network, &queueLoop, queueNode)
    , queue(&queueLoop, &queueTransport, &ownership)
{
    fleet.behaviourOf = [](const TaskCommand &) {
        return FakeTaskBehaviour();
    };
    ownership.queueOwner = queueNode;
    addWorkers(settings);
    ControlState control;
    control.version = 1;
    Pool pool;
    pool.name = "counter";
    pool.workers = {"w*"};
    pool.serviceReserve = settings.serviceReserve;
    pool.batchPercent = settings.batchPercent;
    pool.targetP99 = settings.targetP99;
    control.pools.push_back(pool);
    ownership.accept(control);
    for (int i = 0; i < settings.nodes; ++i) {
        const double rate = 1 + clockRateSpread * (i % 3 - 1);
        nodes.push_back(std::make_unique<WorkerTestNode>(&network, &world, &ownership, &fleet, &list,
                                                         "n" + std::to_string(i), rate));
        WorkerTestNode &node = *nodes.back();
        node.authority.start();
        node.directory.start();
        node.controller =
            std::make_unique<WorkerController>(&node.loop, &node.agent, &node.transport, &node.authority,
                                               &node.directory, WorkerTimings(), settings.seed + 2, settings.policy);
        node.controller->start();
    }
    ownership.startTakeover();
    queue.start();
}

void WorkerTestWorld::addWorkers(const WorkerTestSettings &settings)
{
    for (int i = 0; i < settings.workers; ++i) {
        VmEntry vm;
        vm.name = "w" + std::to_string(i / 10) + std::to_string(i % 10);
        const int rack = i / settings.workersPerRack;
        vm.rack = "r" + std::to_string(rack);
        vm.dataCentre = "dc" + std::to_string(rack % settings.dataCentres);
        vm.capacity = settings.capacity;
        vm.endpointAddress = vm.name;
        list.push_back(vm);
        fleet.add(vm, settings.serviceReserve, 1 + clockRateSpread * (i % 3 - 1));
        ownership.addShard(rackShard(vm.dataCentre, vm.rack), "n" + std::to_string(rack % settings.nodes));
    }
}

void WorkerTestWorld::addJob(const JobId &job, int count, const Resources &declared, TaskClass taskClass,
                             const std::string &kind)
{
    for (int i = 0; i < count; ++i) {
        TaskOffer offer;
        offer.task = job + "/" + std::to_string(i);
        offer.taskClass = taskClass;
        offer.kind = kind;
        offer.resources = declared;
        queue.add(offer);
    }
}

VmEntry &WorkerTestWorld::vm(const WorkerId &worker)
{
    auto it = list.begin();
    while (it->name != worker) {
        ++it;
    }
    return *it;
}

void WorkerTestWorld::removeVm(const WorkerId &worker)
{
    fleet.kill(worker);
    for (auto it = list.begin(); it != list.end(); ++it) {
        if (it->name == worker) {
            list.erase(it);
            return;
        }
    }
}

void WorkerTestWorld::setDataCentreOut(const DataCentreId &dataCentre, bool out)
{
    ControlState next = *ownership.control;
    ++next.version;
    if (out) {
        next.dataCentresOut.insert(dataCentre);
    } else {
        next.dataCentresOut.erase(dataCentre);
    }
    ownership.accept(next);
}

WorkerTestNode &WorkerTestWorld::ownerOf(const WorkerId &worker)
{
    const VmEntry entry = vm(worker);
    const NodeId owner = ownership.shards.at(rackShard(entry.dataCentre, entry.rack)).owner;
    for (const std::unique_ptr<WorkerTestNode> &node : nodes) {
        if (node->authority.self() == owner) {
            return *node;
        }
    }
    return *nodes.front();
}

void WorkerTestWorld::killNode(const NodeId &node)
{
    for (const std::unique_ptr<WorkerTestNode> &it : nodes) {
        if (it->authority.self() == node) {
            it->loop.kill();
            it->authority.cut = true;
        }
    }
}

bool WorkerTestWorld::runUntilDone(std::size_t tasks, Duration limit)
{
    return world.runUntil(
        [this, tasks] {
            return queue.done.size() + queue.givenUp.size() >= tasks;
        },
        limit);
}

} // namespace fescueledge
