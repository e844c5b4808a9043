#pragma once

#include "fescueledge/resources.h"
#include "fescueledge/types.h"

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace fescueledge::workflow {

/// Time of day, in milliseconds since 1970.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

/// Like tasks of a workflow that start together.
struct StepSpec
{
    std::uint32_t count = 1; ///< Tasks of the step.
    Resources perTask;
    Milliseconds estimate{0}; ///< The submitter's rough guess at how long a task takes.
    std::vector<std::uint32_t> dependsOn; ///< Earlier steps that must be done first.
    bool checkpoints = false; ///< Its tasks save progress that a later run may go on from.
    bool gang = false; ///< Its tasks work only while all of them run.
    bool rackSensitive = false; ///< Slow when spread over racks.
    bool speculative = false; ///< Copies of a task may run side by side.
    bool longRunning = false; ///< Runs until the workflow is cancelled.
    bool filler = false; ///< Uses the processor time that others leave; only its memory counts.
    std::string requiredLabel; ///< A label that the worker must have; empty for any.
    std::string dataRack; ///< Slow on any other rack; empty for none.
    std::string image; ///< Tasks of one image behave alike.
    std::uint32_t maxPerWorker = 0; ///< Tasks of the step on one worker at most; 0 for any number.
    std::uint32_t maxUnavailable = 0; ///< Tasks of a long-running step that may be stopped at once; 0 if not limited.
    Milliseconds tailTarget{0}; ///< Bound on the tail of a serving task's response times; 0 if it serves nobody.
};

/// What a caller hands in: steps with dependencies, once or at several times.
struct WorkflowSpec
{
    std::string payload; ///< Given to each task as it is.
    std::vector<StepSpec> steps;
    std::uint32_t occurrences = 0; ///< 0: once, now. Otherwise so many times, see occurrenceDue().
    WallTime firstDue{};
    Milliseconds interval{0};
};

/// How often the steps of @p spec run.
std::uint32_t occurrenceCount(const WorkflowSpec &spec);
/// When occurrence @p occurrence may start; the epoch if the workflow runs once, at once.
WallTime occurrenceDue(const WorkflowSpec &spec, std::uint32_t occurrence);
/// The longest chain of estimates through the steps.
Milliseconds criticalPath(const WorkflowSpec &spec);
/// Throws Error(InvalidArgument) that names the member unless @p spec can be accepted.
void validate(const WorkflowSpec &spec);

void to_json(nlohmann::json &json, const StepSpec &step);
void from_json(const nlohmann::json &json, StepSpec &step);
void to_json(nlohmann::json &json, const WorkflowSpec &spec);
void from_json(const nlohmann::json &json, WorkflowSpec &spec);

} // namespace fescueledge::workflow
