#pragma once

#include "fescueledge/resources.h"
#include "fescueledge/types.h"

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace fescueledge::workflow {

/// Wall-clock time, in milliseconds since 1970.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

/// A group of similar tasks of a workflow that start together.
struct StepSpec
{
    std::uint32_t count = 1; ///< Number of tasks in the step.
    Resources perTask;
    Milliseconds estimate{0}; ///< The submitter's rough estimate of a task's duration.
    std::vector<std::uint32_t> dependsOn; ///< Earlier steps that must be complete first.
    bool checkpoints = false; ///< Its tasks save checkpoints from which a later run may resume.
    bool gang = false; ///< Gang scheduling: its tasks make progress only while all of them run.
    bool rackSensitive = false; ///< Slow when spread over racks.
    bool speculative = false; ///< Speculative copies of a task may run in parallel.
    bool longRunning = false; ///< Runs until the workflow is cancelled.
    bool filler = false; ///< Uses spare CPU time; only its memory counts towards capacity.
    std::string requiredLabel; ///< A label that the worker must have; empty for any.
    std::string dataRack; ///< Rack of its data, outside of which it is slow; empty for none.
    std::string image; ///< Tasks with the same image have similar resource use and latency.
    std::uint32_t maxPerWorker = 0; ///< Maximum number of tasks of the step on one worker; 0 for no limit.
    std::uint32_t maxUnavailable = 0; ///< Maximum tasks of a long-running step down at once; 0 for no limit.
    Milliseconds tailTarget{0}; ///< Target tail latency of a serving task; 0 if the task is not a serving one.
};

/// A workflow as submitted by a caller: steps with dependencies, run once or periodically.
struct WorkflowSpec
{
    std::string payload; ///< Passed to each task unchanged.
    std::vector<StepSpec> steps;
    std::uint32_t occurrences = 0; ///< Number of runs, see occurrenceDue(); 0 to run once, immediately.
    WallTime firstDue{};
    Milliseconds interval{0};
};

/// Most tasks of one occurrence, and so most steps; bounds the memory that one request can claim.
constexpr std::uint32_t maxTasks = 16384;

/// Number of times that the steps of @p spec run.
std::uint32_t occurrenceCount(const WorkflowSpec &spec);
/// When occurrence @p occurrence may start; the epoch if the workflow runs once, immediately.
WallTime occurrenceDue(const WorkflowSpec &spec, std::uint32_t occurrence);
/// Length of the critical path: the largest sum of estimates along a chain of dependent steps.
Milliseconds criticalPath(const WorkflowSpec &spec);
/// Throws Error(InvalidArgument) that names the invalid member unless @p spec is valid.
void validate(const WorkflowSpec &spec);

void to_json(nlohmann::json &json, const StepSpec &step);
void from_json(const nlohmann::json &json, StepSpec &step);
void to_json(nlohmann::json &json, const WorkflowSpec &spec);
void from_json(const nlohmann::json &json, WorkflowSpec &spec);

} // namespace fescueledge::workflow
