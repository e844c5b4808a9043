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

bool WorkerContext::dataCentreOut(const WorkerRow &worker) const
{
    return authority->control()->dataCentresOut.count(worker.vm.dataCentre) > 0;
}

bool WorkerContext::silent(const WorkerRow &worker) const
{
    return loop->now() - worker.lastReply > timings.silence;
}

} // namespace fescueledge
