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

/// Accepts every table except a routes table with the text `bad`.
class FakeControlParser : public ControlParser
{
public:
    void parse(ControlState *state) const override;
};

/// One simulated daemon: the real membership code on fake loop, store, network and VM list.
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
    ControlVersion appliedVersion = 0; ///< The version that the apply hook last received.
};

/// A simulated cluster of daemons, six by default, in three data centres with a rack of workers each, and an observer
/// that knows the true time.
///
/// After each event the observer checks properties of the cluster that no single daemon can see: no two daemons act for
/// one shard, the epoch of a shard for which a daemon acts never decreases, and no daemon acts on a control version
/// older than one that was reported to be in force.
class ClusterFixture
{
public:
    explicit ClusterFixture(std::uint64_t seed, int nodes = 6);
    ~ClusterFixture();

    /// Starts node @p index as a new process.
    void boot(int index);
    void kill(int index);
    void pause(int index, bool paused);
    /// Kills node @p index and starts a daemon with another name and address in its place.
    void replace(int index);
    /// Runs for @p span; the observer checks after each event.
    void run(Duration span);
    /// Runs until @p done returns true or @p limit has passed; the observer checks after each event.
    bool runUntil(const std::function<bool()> &done, Duration limit);
    /// Ends all faults of links, store and VM list and all pauses, and restarts nodes that are down or draining.
    void heal();

    ClusterProcess &node(int index);
    int size() const;
    bool isUp(int index) const;
    void setStoreDown(bool down);
    void setStoreFaults(const FakeTableService::Faults &faults);
    void isolateDataCentre(const DataCentreId &dataCentre, bool isolated);
    /// While @p frozen, the VM list keeps showing the VMs as of this call.
    void freezeVmList(bool frozen);
    /// Updates the VM list to the current VMs unless it is frozen.
    void publishVms();

    /// Returns the node that acts for @p shard now; nothing if there is none.
    std::optional<int> actingNode(const ShardId &shard) const;
    /// True if each shard has a node that acts for it.
    bool allOwned() const;
    std::vector<ShardId> allShards() const;
    /// Records that @p version was reported to an operator as in force.
    void recordInForce(ControlVersion version);

    /// Violations that the observer found.
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
    std::vector<std::unique_ptr<ClusterProcess>> m_processes; ///< Killed ones stay: late events refer to them.
    std::map<ShardId, Epoch> m_epochs;
    std::map<ShardId, int> m_actingNodes;
    ControlVersion m_inForceVersion = 0;
};

} // namespace fescueledge
