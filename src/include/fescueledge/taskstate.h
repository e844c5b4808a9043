#pragma once

#include <nlohmann/json_fwd.hpp>

namespace fescueledge {

/// Durable state of a task.
enum class TaskState {
    Pending, ///< Waits for capacity.
    Claimed, ///< One attempt is bound to a worker; it is starting or running.
    Finished, ///< Ended with success, recorded once.
    Failed, ///< Reached the job's limit of failed or lost attempts.
    Cancelled, ///< Cancelled by the caller.
    NeverRunnable, ///< It does not fit on any worker.
};

/// Number of task states.
constexpr int taskStateCount = 6;

/// True if @p state is final: a task in it never runs again.
bool isTerminalState(TaskState state);
/// The name of @p state in JSON, in kebab case.
const char *taskStateName(TaskState state);

void to_json(nlohmann::json &json, const TaskState &state);
void from_json(const nlohmann::json &json, TaskState &state);

} // namespace fescueledge
