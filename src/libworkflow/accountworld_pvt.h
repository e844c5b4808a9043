#pragma once

#include "fescueledge/types.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace fescueledge::workflow {

class WorkflowWorld;

/// The limits of accounts in cores; 0 for none.
using AccountLimits = std::map<std::string, std::int64_t>;
/// Limits, and since when they are in force.
using LimitHistory = std::vector<std::pair<TimePoint, AccountLimits>>;

/// Replaces the accounts of the catalog by those in @p limits.
void setLimits(WorkflowWorld &world, const AccountLimits &limits);
/// The runs whose start raised what runs for their account above its limit, where each task takes one core. @p jobs has
/// the accounts of the jobs.
std::vector<std::string> startsAboveLimit(WorkflowWorld &world, const std::map<JobId, std::string> &jobs,
                                          const LimitHistory &limits);
/// Tasks of which two runs overlapped, or that were started after a run that was done and acknowledged. A lease that
/// lapsed between the end and the acknowledgement excuses a repetition.
std::vector<std::string> tasksRepeated(WorkflowWorld &world);

} // namespace fescueledge::workflow
