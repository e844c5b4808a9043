#include "fescueledge/taskstate.h"

#include "fescueledge/error.h"

#include <nlohmann/json.hpp>

namespace fescueledge {

namespace {

constexpr const char *stateNames[taskStateCount] = {"pending", "claimed",   "finished",
                                                    "failed",  "cancelled", "never-runnable"};

} // namespace

bool isTerminalState(TaskState state)
{
    return state != TaskState::Pending && state != TaskState::Claimed;
}

const char *taskStateName(TaskState state)
{
    return stateNames[static_cast<int>(state)];
}

void to_json(nlohmann::json &json, const TaskState &state)
{
    json = taskStateName(state);
}

void from_json(const nlohmann::json &json, TaskState &state)
{
    const std::string name = json.get<std::string>();
    for (int i = 0; i < taskStateCount; ++i) {
        if (name == stateNames[i]) {
            state = static_cast<TaskState>(i);
            return;
        }
    }
    throw Error(ErrorKind::InvalidArgument, "unknown task state " + name);
}

} // namespace fescueledge
