#include "accountgate_pvt.h"

#include "fescueledge/account/fairshare.h"
#include "observationsystem_pvt.h"

#include <algorithm>

namespace fescueledge::workflow {

AccountGate::AccountGate(std::shared_ptr<Context> context, const ObservationSystem *observations)
    : m_context(std::move(context))
    , m_observations(observations)
{
}

void AccountGate::update()
{
    m_unknown = Resources{};
    m_total = Resources{};
    m_hasUnknownWorkers = m_observations->mayHaveUnknownWorkers();
    if (m_context->catalog == nullptr || m_context->catalog->accounts.empty()) {
        return;
    }
    for (const auto &[id, worker] : m_context->fleet.all()) {
        m_total += worker->entry.capacity;
        const bool hasUnattributedRuns = m_context->fleet.unattributedRuns() > 0
            && std::any_of(worker->earlierRuns.begin(), worker->earlierRuns.end(), [](const EarlierRun &run) {
                                             return !run.isAttributed;
                                         });
        if (hasUnattributedRuns || ObservationSystem::mayHoldEarlierRuns(*worker)) {
            m_unknown += worker->entry.capacity;
        }
    }
}

const account::AccountPolicy *AccountGate::policyOf(const Job &job) const
{
    if (m_context->catalog == nullptr || job.account.empty()) {
        return nullptr;
    }
    const auto it = m_context->catalog->accounts.find(job.account);
    return it == m_context->catalog->accounts.end() ? nullptr : &it->second;
}

Resources AccountGate::limitOf(const Job &job) const
{
    const account::AccountPolicy *policy = policyOf(job);
    return policy == nullptr ? Resources{} : policy->limit;
}

bool AccountGate::mayStart(const Step &step, std::uint32_t tasks) const
{
    const Job &job = *step.occurrence->job;
    const Resources limit = limitOf(job);
    if (!account::isLimited(limit)) {
        return true;
    }
    if (m_hasUnknownWorkers) {
        return false;
    }
    const Resources used = m_context->fleet.usage().usage(job.account) + m_unknown;
    // A task that is larger than the limit would wait for good, so the last task may pass a limit of which nothing is
    // used. The platform's rule leaves room for one task above the limit, not for a whole gang.
    const std::uint32_t counted = used == Resources{} && tasks > 0 ? tasks - 1 : tasks;
    Resources need = step.spec->perTask;
    need.milliCores *= counted;
    need.memoryMb *= counted;
    need.accelerators *= counted;
    return account::isWithinLimit(used, need, limit);
}

double AccountGate::shareOf(const Job &job) const
{
    const account::AccountPolicy *policy = policyOf(job);
    return policy == nullptr
        ? 0
        : account::weightedShare(m_context->fleet.usage().usage(job.account), m_total, policy->weight);
}

} // namespace fescueledge::workflow
