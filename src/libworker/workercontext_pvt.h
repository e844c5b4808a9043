#pragma once

#include "fescueledge/workerpolicy.h"
#include "fescueledge/workertimings.h"
#include "interferenceestimator_pvt.h"
#include "sizeestimator_pvt.h"
#include "workertable_pvt.h"

#include "fescueledge/random.h"

namespace fescueledge {

class Authority;
class Loop;
class PeerTransport;
class VmDirectory;
class WorkerAgent;

/// What the systems share: external interfaces, settings, tables and estimators.
struct WorkerContext
{
    Loop *loop = nullptr;
    WorkerAgent *agent = nullptr;
    PeerTransport *transport = nullptr;
    Authority *authority = nullptr;
    VmDirectory *vmDirectory = nullptr;
    WorkerTimings timings;
    WorkerPolicy policy;
    Random random;
    WorkerTables tables;
    SizeEstimator sizes;
    InterferenceEstimator interference;
    /// Epoch of each owned shard, and when this node first observed that it owns the shard under that epoch.
    std::map<ShardId, std::pair<Epoch, TimePoint>> acquisitions;

    /// True if this node may act for @p worker now, under the epoch of its row.
    bool mayAct(const WorkerRow &worker) const;
    /// True if all leases that earlier owners of @p shard renewed have expired, and this node may act for the shard.
    bool earlierLeasesExpired(const ShardId &shard) const;
    /// True if all leases renewed by messages that workers accept until @p renewalDeadline have expired.
    bool leaseExpired(TimePoint renewalDeadline) const;
    /// True if the data centre of @p worker is out of service.
    bool isDataCentreOut(const WorkerRow &worker) const;
    /// True if @p worker has not replied within `timings.silenceTimeout`.
    bool isSilent(const WorkerRow &worker) const;
};

} // namespace fescueledge
