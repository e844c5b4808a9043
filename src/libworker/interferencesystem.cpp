#include "interferencesystem_pvt.h"

#include "interferencepolicy_pvt.h"
#include "workercontext_pvt.h"
#include "workerload_pvt.h"

namespace fescueledge {

InterferenceSystem::InterferenceSystem(WorkerContext *context)
    : m_context(context)
    , m_policy(makeInterferencePolicy(context))
{
}

InterferenceSystem::~InterferenceSystem() = default;

void InterferenceSystem::run()
{
    std::map<WorkerId, WorkerRow> &workers = m_context->tables.workers;
    for (auto it = workers.begin(); it != workers.end(); ++it) {
        WorkerRow &worker = it->second;
        const std::pair<std::uint64_t, std::uint64_t> current(worker.generation, worker.replyCount);
        std::pair<std::uint64_t, std::uint64_t> &seen = m_seen[it->first];
        const double ratio = reportedRatio(*m_context, worker);
        if (seen == current || !worker.adopted || ratio <= 0) {
            continue;
        }
        seen = current;
        m_context->interference.observe(worker.pool, workerExposure(*m_context, worker), ratio);
        m_policy->onMeasured(&worker, ratio);
    }
}

} // namespace fescueledge
