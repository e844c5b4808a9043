#pragma once

#include "fescueledge/controlparser.h"
#include "fescueledge/controlregister.h"
#include "fescueledge/nodeauthority.h"
#include "fescueledge/testing/fakenetwork.h"
#include "fescueledge/testing/fakepeertransport.h"
#include "fescueledge/testing/faketableservice.h"
#include "fescueledge/testing/fakevmlist.h"
#include "fescueledge/testing/memorytable.h"
#include "fescueledge/testing/simloop.h"
#include "fescueledge/testing/simworld.h"
#include "fescueledge/vmpoller.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace fescueledge {

/// Accepts every table but one that says `bad`.
class FakeControlParser : public ControlParser
{
public:
    void parse(ControlState *state) const override;
};

/// One simulated daemon: the real membership code over fakes.
struct ClusterProcess
{
    ClusterProcess(SimWorld *world, FakeNetwork *network, MemoryTable *rows, const std::vector<VmEntry> *vmEntries,
                   const NodeIdentity &identity, double clockRate, std::uint64_t seed);

    bool isAlive() const
    {
        return loop.isAlive();
    }

    NodeIdentity identity;
    FakeControlParser parser;
    SimLoop loop;
    FakeTableService table;
    FakeVmList vmList;
    FakePeerTransport transport;
    VmPoller vms;
    ControlRegister control;
    NodeAuthority authority;
    bool paused = false;
    ControlVersion appliedVersion = 0; ///< As the apply hook saw it.
};

/// Six daemons in three data centres, three racks of workers, and an observer that knows the true time.
///
/// After each event the observer checks what no daemon can see: that no two daemons act for one shard, that the epoch
/// of a shard that is acted for never goes back, and that no daemon acts on a control version older than one that was
/// answered to be in force.
class ClusterFixture
{
public:
    explicit ClusterFixture(std::uint64_t seed, int nodes = 6);
    ~ClusterFixture();

    /// Starts node @p index as a new process.
    void boot(int index);
    void kill(int index);
    void pause(int index, bool paused);
    /// Kills node @p index and lets a daemon with another name and address take its place.
    void replace(int index);
    /// Runs for @p span and checks after each event.
    void run(Duration span);
    /// Runs until @p done holds or @p limit has passed; checks after each event.
    bool runUntil(const std::function<bool()> &done, Duration limit);
    /// Ends all faults: links, store, VM list, pauses; boots what is down or drains.
    void heal();

    ClusterProcess &node(int index);
    int size() const;
    bool isUp(int index) const;
    void setStoreDown(bool down);
    void setStoreFaults(const FakeTableService::Faults &faults);
    void isolateDataCentre(const DataCentreId &dataCentre, bool isolated);
    /// Shows VMs only as they were when this was last called with true, until called with false.
    void freezeVmList(bool frozen);
    /// Puts the present VMs into the VM list unless it is frozen.
    void publishVms();

    /// The node that acts for @p shard now; nothing if none does.
    std::optional<int> actingNode(const ShardId &shard) const;
    /// True if each shard has an acting owner.
    bool allOwned() const;
    std::vector<ShardId> allShards() const;
    /// Notes that an operator was told that @p version is in force.
    void recordInForce(ControlVersion version);

    /// Breaches of the promises that the observer saw.
    std::vector<std::string> violations;
    SimWorld world;
    MemoryTable rows;
    FakeNetwork network;
    Random random;

private:
    void observe();
    void observeNode(int index);
    NodeIdentity identityOf(int index) const;

    FakeTableService::Faults m_faults;
    std::vector<VmEntry> m_vmEntries;
    bool m_isVmListFrozen = false;
    std::vector<ClusterProcess *> m_current;
    std::vector<int> m_replacements;
    std::vector<std::unique_ptr<ClusterProcess>> m_processes; ///< Dead ones stay: late events refer to them.
    std::map<ShardId, Epoch> m_epochs;
    std::map<ShardId, int> m_actingNodes;
    ControlVersion m_inForceVersion = 0;
};

} // namespace fescueledge
