#include "workerload_pvt.h"

#include "fescueledge/authority.h"
#include "fescueledge/controlstate.h"
#include "workercontext_pvt.h"

#include <algorithm>

namespace fescueledge {

double attemptExposure(const WorkerContext &context, const WorkerRow &worker, const AttemptRow &row)
{
    if (!row.usesCapacity()) {
        return 0;
    }
    Resources use = row.report.used;
    if (use.memoryMb <= 0) {
        use = context.sizes.expected(row.offer.kind, row.allocation);
        use.milliCores = std::min(use.milliCores, row.allocation.milliCores);
    }
    const double totalMilliCores = static_cast<double>(std::max<std::int64_t>(1, worker.vm.capacity.milliCores));
    return static_cast<double>(use.milliCores) / totalMilliCores;
}

InterferenceExposure workerExposure(const WorkerContext &context, const WorkerRow &worker)
{
    InterferenceExposure exposure;
    for (const AttemptRow *row : context.tables.attemptsOn(worker.vm.name)) {
        exposure[row->offer.kind] += attemptExposure(context, worker, *row);
    }
    return exposure;
}

double reportedRatio(const WorkerContext &context, const WorkerRow &worker)
{
    const Pool *pool = context.authority->control()->findPool(worker.pool);
    if (pool == nullptr || pool->targetP99.count() <= 0) {
        return 0;
    }
    return static_cast<double>(worker.serviceP99.count()) / static_cast<double>(pool->targetP99.count());
}

} // namespace fescueledge
