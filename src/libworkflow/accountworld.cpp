#include "accountworld_pvt.h"

#include "workflowworld_pvt.h"

#include <algorithm>

namespace fescueledge::workflow {

namespace {

/// Orders under the limit before arrive within this time after a change.
constexpr Milliseconds orderTime{1000};

std::int64_t limitAt(const LimitHistory &limits, const std::string &account, TimePoint at)
{
    std::int64_t highest = 0;
    for (std::size_t i = 0; i < limits.size(); ++i) {
        const bool hasEnded = i + 1 < limits.size() && limits[i + 1].first + orderTime < at;
        const auto it = limits[i].second.find(account);
        if (limits[i].first <= at && !hasEnded && it != limits[i].second.end()) {
            highest = std::max(highest, it->second);
        }
    }
    return highest;
}

} // namespace

void setLimits(WorkflowWorld &world, const AccountLimits &limits)
{
    Catalog catalog = world.catalog;
    ++catalog.version;
    catalog.accounts.clear();
    catalog.asksForKeys = true;
    for (const auto &[name, cores] : limits) {
        account::AccountPolicy policy;
        policy.name = name;
        policy.weight = 1000; // Rates have tests of their own.
        policy.limit.milliCores = cores * 1000;
        catalog.accounts.emplace(name, policy);
    }
    world.setCatalog(catalog);
    world.run(Milliseconds(10));
}

std::vector<std::string> startsAboveLimit(WorkflowWorld &world, const std::map<JobId, std::string> &jobs,
                                          const LimitHistory &limits)
{
    world.workers.settleAll();
    std::map<std::string, std::vector<SimWorkers::RunRecord>> byAccount;
    for (const SimWorkers::RunRecord &run : world.workers.runs()) {
        byAccount[jobs.at(run.task.job)].push_back(run);
    }
    std::vector<std::string> out;
    for (const auto &[account, runs] : byAccount) {
        for (std::size_t i = 0; i < runs.size(); ++i) {
            const TimePoint at = runs[i].began;
            const auto running = 1
                + std::count_if(runs.begin(), runs.begin() + static_cast<std::ptrdiff_t>(i),
                                [at](const SimWorkers::RunRecord &run) {
                                    return run.ended == TimePoint{} || run.ended > at;
                                });
            const std::int64_t limit = limitAt(limits, account, at);
            if (limit > 0 && running > limit) {
                out.push_back(account + " " + toString(runs[i].task) + " " + std::to_string(running));
            }
        }
    }
    return out;
}

std::vector<std::string> tasksRepeated(WorkflowWorld &world)
{
    world.workers.settleAll();
    std::map<std::string, SimWorkers::RunRecord> latest;
    std::vector<std::string> out;
    for (const SimWorkers::RunRecord &run : world.workers.runs()) {
        const auto [it, isFirst] = latest.emplace(toString(run.task), run);
        if (isFirst) {
            continue;
        }
        const SimWorkers::RunRecord &before = it->second;
        const bool overlap = before.ended == TimePoint{} || before.ended > run.began;
        if (overlap || (before.how == RunEnd::Done && before.acknowledged && !before.lapsedBeforeAcknowledged)) {
            out.push_back(it->first);
        }
        it->second = run;
    }
    return out;
}

} // namespace fescueledge::workflow
