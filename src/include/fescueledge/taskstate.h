#pragma once

#include <nlohmann/json_fwd.hpp>

namespace fescueledge {

/// Durable state of a task.
enum class TaskState {
    Pending, ///< Waits for room.
    Claimed, ///< One attempt is bound to a worker: it starts or runs.
    Finished, ///< Ended with success, recorded once.
    Failed, ///< Failed or was lost as often as the job allows.
    Cancelled, ///< Ended by the caller.
    NeverRunnable, ///< No worker could ever hold it.
};

/// Number of task states.
constexpr int taskStateCount = 6;

/// True if a task in @p state never runs again.
bool isTerminalState(TaskState state);
/// The name of @p state in JSON, in kebab case.
const char *taskStateName(TaskState state);

void to_json(nlohmann::json &json, const TaskState &state);
void from_json(const nlohmann::json &json, TaskState &state);

} // namespace fescueledge
