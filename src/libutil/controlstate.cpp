#include "fescueledge/controlstate.h"

namespace fescueledge {

namespace {

bool matchesWorker(const std::string &pattern, const WorkerId &worker)
{
    if (!pattern.empty() && pattern.back() == '*') {
        return worker.compare(0, pattern.size() - 1, pattern, 0, pattern.size() - 1) == 0;
    }
    return worker == pattern;
}

} // namespace

const Pool *ControlState::findPool(const std::string &name) const
{
    for (const Pool &pool : pools) {
        if (pool.name == name) {
            return &pool;
        }
    }
    return nullptr;
}

const TeamQuota *ControlState::findTeam(const std::string &name) const
{
    for (const TeamQuota &quota : teams) {
        if (quota.team == name) {
            return &quota;
        }
    }
    return nullptr;
}

const Pool *ControlState::poolOfWorker(const WorkerId &worker) const
{
    for (const Pool &pool : pools) {
        for (const std::string &pattern : pool.workers) {
            if (matchesWorker(pattern, worker)) {
                return &pool;
            }
        }
    }
    return nullptr;
}

} // namespace fescueledge
