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

/// Registers this node, renews its row, and keeps the grantor groups that bind it.
///
/// A group is replaced in two steps: from the moment that a write with a new group is sent, a majority of the old and
/// of the new one is needed; once the write is known to be committed and the control state was read after it, the new
/// one alone.
class StoreLease
{
public:
    struct Listener
    {
        std::function<void()> onRegistered;
        std::function<void()> onFenced; ///< The incarnation was fenced or replaced; all is lost.
    };

    StoreLease(Loop *loop, TableService *table, const NodeTable *nodes, const VmDirectory *vms,
               ControlRegister *controlRegister, const NodeIdentity &identity, const LeaseTimings &timings,
               std::uint64_t seed, Listener listener);

    void start();
    void stop();
    /// Takes no more part in placement; the row says so from the next renewal on.
    void setDraining();
    /// Removes the row; @p done is called once that is certain.
    void deregister(std::function<void()> done);

    /// 0 before this node registered.
    Incarnation incarnation() const;
    /// The version of the row that is known to be committed.
    RowVersion rowVersion() const;
    /// True if the row was renewed and the control state read after it at least once in this incarnation.
    bool isReady() const;
    /// The end of the time that the last renewal gave.
    TimePoint leaseUntil() const;
    /// The groups of each of which a majority must have granted.
    const std::vector<GrantorGroup> &groups() const;
    /// Grows with each change of groups().
    std::uint64_t groupsRevision() const;

private:
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
