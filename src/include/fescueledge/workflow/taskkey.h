#pragma once

#include "fescueledge/types.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace fescueledge::workflow {

/// Identifies one task of a workflow.
struct TaskKey
{
    JobId job;
    std::uint32_t occurrence = 0; ///< 0 for a workflow that runs once.
    std::uint32_t step = 0;
    std::uint32_t index = 0; ///< Position in the step.
};

inline bool operator==(const TaskKey &a, const TaskKey &b)
{
    return a.index == b.index && a.step == b.step && a.occurrence == b.occurrence && a.job == b.job;
}

inline bool operator<(const TaskKey &a, const TaskKey &b)
{
    return std::tie(a.job, a.occurrence, a.step, a.index) < std::tie(b.job, b.occurrence, b.step, b.index);
}

/// Formats @p key as `job.occurrence.step.index`, for logs.
inline std::string toString(const TaskKey &key)
{
    return key.job + "." + std::to_string(key.occurrence) + "." + std::to_string(key.step) + "."
        + std::to_string(key.index);
}

/// Number of one run of a task; increases with each start.
using RunNumber = std::uint64_t;
/// Term of a coordinator; increases with each election in a deployment. Orders to workers carry it as fencing token.
using Term = std::uint64_t;

} // namespace fescueledge::workflow
