#include "accountreport_pvt.h"

namespace fescueledge::workflow {

namespace {

constexpr std::chrono::seconds reportInterval{5};
constexpr std::size_t maxAccounts = 200; ///< Lines of one report; the others are left out.
constexpr double permille = 1000;

} // namespace

AccountReport::AccountReport(std::shared_ptr<Context> context)
    : m_context(std::move(context))
{
}

void AccountReport::run()
{
    const TimePoint now = m_context->now();
    if (now < m_ranAt + reportInterval || m_context->catalog == nullptr || m_context->catalog->accounts.empty()) {
        return;
    }
    m_ranAt = now;
    struct Work
    {
        std::int64_t waiting = 0;
        std::int64_t excess = 0;
        Resources used;
    };
    std::map<std::string, Work> work;
    for (const Step *step : m_context->jobs.openSteps()) {
        const Job &job = *step->occurrence->job;
        work[job.account].waiting += step->idleTasks;
        work[job.account].excess += job.isExcess ? step->idleTasks : 0;
    }
    for (const auto &[account, used] : m_context->fleet.usage().all()) {
        work[account].used = used;
    }
    std::size_t reported = 0;
    for (const auto &[name, amount] : work) {
        const auto it = m_context->catalog->accounts.find(name);
        if (it == m_context->catalog->accounts.end()) {
            continue;
        }
        if (++reported > maxAccounts) {
            break;
        }
        const account::AccountPolicy &policy = it->second;
        m_context->log->write(LogLine("account_usage")
                                  .with("account", name)
                                  .with("weight_permille", static_cast<std::int64_t>(policy.weight * permille))
                                  .with("running_millicores", amount.used.milliCores)
                                  .with("limit_millicores", policy.limit.milliCores)
                                  .with("running_memory_mb", amount.used.memoryMb)
                                  .with("limit_memory_mb", policy.limit.memoryMb)
                                  .with("running_accelerators", amount.used.accelerators)
                                  .with("limit_accelerators", policy.limit.accelerators)
                                  .with("waiting_tasks", amount.waiting)
                                  .with("waiting_excess_tasks", amount.excess));
    }
}

} // namespace fescueledge::workflow
