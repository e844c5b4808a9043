#pragma once

#include "fescueledge/leasetimings.h"
#include "fescueledge/random.h"
#include "noderow_pvt.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace fescueledge {

class ControlRegister;
class Loop;
class NodeTable;
class TableService;
class VmDirectory;
struct CommitResult;
struct ReadResult;

/// Registers this node, renews its row, and maintains the grantor groups whose grants it needs.
///
/// A group is replaced in two steps. From the moment a write with a new group is sent, this node needs a majority of
/// the old and of the new group. Once the write is known to be committed and the control state has been read after it,
/// a majority of the new group is enough.
class StoreLease
{
public:
    struct Listener
    {
        std::function<void()> onRegistered;
        std::function<void()> onFenced; ///< The incarnation was fenced or replaced, and with it all shards are lost.
    };

    StoreLease(Loop *loop, TableService *table, const NodeTable *nodes, const VmDirectory *vms,
               ControlRegister *controlRegister, const NodeIdentity &identity, const LeaseTimings &timings,
               std::uint64_t seed, Listener listener);

    void start();
    void stop();
    /// Marks the node as draining in its row, from the next renewal on, so that no more shards are placed on it.
    void setDraining();
    /// Removes the row and calls @p done once the removal is confirmed.
    void deregister(std::function<void()> done);

    /// The current incarnation; 0 while this node is not registered.
    Incarnation incarnation() const;
    /// The newest version of the row that is known to be committed.
    RowVersion rowVersion() const;
    /// True once this incarnation has renewed its row and then read the control state at least once.
    bool isReady() const;
    /// When the lease from the last renewal expires.
    TimePoint leaseUntil() const;
    /// The groups that must each have granted by majority before this node may act on grants.
    const std::vector<GrantorGroup> &groups() const;
    /// Increases with each change of groups().
    std::uint64_t groupsRevision() const;

private:
    /// A renewal that was sent and whose outcome is not known yet.
    struct PendingWrite
    {
        std::string writeId;
        TimePoint sentAt;
        GrantorGroup group;
    };

    void schedule(Duration delay);
    void step();
    void registerSelf();
    void onOwnRowRead(const ReadResult &result);
    void commitRegistration(RowVersion expected);
    void adoptIncarnation(RowVersion version);
    void renew();
    void onRenewed(const std::string &writeId, const CommitResult &result);
    void resolvePendingWrites();
    void onResolved(const ReadResult &result);
    void onWriteCommitted(const PendingWrite &write, RowVersion version);
    void onControlRead(const PendingWrite &write, bool loaded);
    void loseIncarnation();
    void removeRow();
    void finishDeregistration();
    void requireGroup(const GrantorGroup &group);
    void setGroups(std::vector<GrantorGroup> groups);
    void dropPendingWrite(const std::string &writeId);
    GrantorGroup nextGroup() const;
    GrantorGroup proposeGroup() const;
    bool canRenew() const;
    bool isSelfListed() const;
    NodeRow makeRow(const GrantorGroup &group) const;

    Loop *m_loop;
    TableService *m_table;
    const NodeTable *m_nodes;
    const VmDirectory *m_vms;
    ControlRegister *m_control;
    NodeIdentity m_identity;
    LeaseTimings m_timings;
    Random m_random;
    Listener m_listener;
    bool m_running = false;
    bool m_requestInFlight = false;
    bool m_draining = false;
    bool m_outcomeUnknown = false;
    bool m_wasListed = false;
    std::function<void()> m_onDeregistered;
    std::uint64_t m_timerId = 0;
    std::set<std::string> m_registrationWriteIds;
    Incarnation m_incarnation = 0;
    RowVersion m_rowVersion = 0;
    TimePoint m_registeredAt;
    TimePoint m_leaseUntil = TimePoint::min();
    bool m_ready = false;
    std::vector<PendingWrite> m_pendingWrites;
    std::vector<GrantorGroup> m_groups;
    std::uint64_t m_groupsRevision = 0;
};

} // namespace fescueledge
