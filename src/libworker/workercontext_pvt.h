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

/// What the systems share: the interfaces to the outside, the settings, the tables and what was learnt.
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
    /// The epoch of each owned shard and when this node first saw itself own it under that epoch.
    std::map<ShardId, std::pair<Epoch, TimePoint>> acquisitions;

    /// True if this node may act for @p worker now, under the epoch of its row.
    bool mayAct(const WorkerRow &worker) const;
    /// True if no lease that an earlier owner of @p shard renewed can hold any more, and this node may act for it.
    bool earlierLeasesExpired(const ShardId &shard) const;
    /// True if no lease renewed by messages that workers accept until @p renewLimit can hold any more.
    bool leaseExpired(TimePoint renewLimit) const;
    /// True if the data centre of @p worker is out of service.
    bool isDataCentreOut(const WorkerRow &worker) const;
    /// True if @p worker has not answered for a while.
    bool isSilent(const WorkerRow &worker) const;
};

} // namespace fescueledge
