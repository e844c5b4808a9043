#pragma once

#include "fescueledge/controlstate.h"
#include "fescueledge/testing/fakenetwork.h"
#include "fescueledge/testing/fakepeertransport.h"
#include "fescueledge/testing/fakerackauthority.h"
#include "fescueledge/testing/fakerackdirectory.h"
#include "fescueledge/testing/faketaskqueue.h"
#include "fescueledge/testing/fakeworkerfleet.h"
#include "fescueledge/testing/simloop.h"
#include "fescueledge/testing/simworld.h"
#include "fescueledge/workercontroller.h"

#include <memory>
#include <string>
#include <vector>

namespace fescueledge {

/// Size of the simulated deployment and the policies of its rack owners.
struct WorkerTestSettings
{
    int nodes = 2;
    int dataCentres = 2;
    int workers = 16;
    int workersPerRack = 4;
    Resources capacity{8000, 32000, 1};
    Resources serviceReserve{2000, 4000, 0};
    Milliseconds targetP99{30};
    int batchPercent = 100;
    WorkerPolicy policy;
    std::uint64_t seed = 1;
};

/// One simulated rack owner.
struct WorkerTestNode
{
    WorkerTestNode(FakeNetwork *network, SimWorld *world, FakeOwnership *ownership, FakeWorkerFleet *fleet,
                   const std::vector<VmEntry> *list, const NodeId &name, double clockRate);

    SimLoop loop;
    FakeRackAuthority authority;
    FakeRackDirectory directory;
    FakePeerTransport transport;
    FakeWorkerAgent agent;
    std::unique_ptr<WorkerController> controller;
};

/// Rack owners, workers and one queue owner in virtual time.
class WorkerTestWorld
{
public:
    explicit WorkerTestWorld(const WorkerTestSettings &settings);

    /// Adds the tasks `<job>/0` to `<job>/<count - 1>`.
    void addJob(const JobId &job, int count, const Resources &declared, TaskClass taskClass = TaskClass::Batch,
                const std::string &kind = "grind");
    VmEntry &vm(const WorkerId &worker);
    /// Kills the VM and removes it from the list.
    void removeVm(const WorkerId &worker);
    void setDataCentreOut(const DataCentreId &dataCentre, bool out);
    WorkerTestNode &ownerOf(const WorkerId &worker);
    /// Kills the process of @p node permanently; other nodes take over its shards.
    void killNode(const NodeId &node);
    /// Runs until @p tasks tasks are done or given up; returns false if @p limit passes first.
    bool runUntilDone(std::size_t tasks, Duration limit);

    SimWorld world;
    FakeNetwork network;
    FakeOwnership ownership;
    FakeWorkerFleet fleet;
    std::vector<VmEntry> list; ///< Contents of the VM list.
    std::vector<std::unique_ptr<WorkerTestNode>> nodes;
    SimLoop queueLoop;
    FakePeerTransport queueTransport;
    FakeTaskQueue queue;

private:
    void addWorkers(const WorkerTestSettings &settings);
};

} // namespace fescueledge
