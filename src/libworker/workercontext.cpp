#include "workercontext_pvt.h"

#include "fescueledge/authority.h"
#include "fescueledge/controlstate.h"
#include "fescueledge/loop.h"

namespace fescueledge {

bool WorkerContext::mayAct(const WorkerRow &worker) const
{
    const std::optional<Epoch> epoch = authority->ownedEpoch(worker.shard);
    return epoch.has_value() && *epoch == worker.epoch;
}

bool WorkerContext::earlierLeasesExpired(const ShardId &shard) const
{
    const std::optional<Epoch> epoch = authority->ownedEpoch(shard);
    const auto it = acquisitions.find(shard);
    return epoch.has_value() && it != acquisitions.end() && it->second.first == *epoch
        && leaseExpired(it->second.second);
}

bool WorkerContext::leaseExpired(TimePoint renewalDeadline) const
{
    const double lease = static_cast<double>(Duration(timings.workerLease).count());
    const Duration longest(static_cast<Duration::rep>(lease * (1 + timings.maxClockDrift)));
    return loop->now() > renewalDeadline + longest;
}

bool WorkerContext::isDataCentreOut(const WorkerRow &worker) const
{
    return authority->control()->dataCentresOut.count(worker.vm.dataCentre) > 0;
}

bool WorkerContext::isSilent(const WorkerRow &worker) const
{
    return loop->now() - worker.lastReply > timings.silenceTimeout;
}

} // namespace fescueledge
