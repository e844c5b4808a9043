#pragma once

#include "fescueledge/resources.h"
#include "fescueledge/types.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace fescueledge {

/// What a worker says of one attempt that it has.
struct TaskReport
{
    enum class State {
        Running,
        Finished, ///< Ended by itself with success.
        Failed, ///< Ended by itself with an error.
        Checkpointed, ///< Stopped after saving its state.
        Stopped, ///< Stopped on command, or because the worker-side lease lapsed.
        Refused, ///< Never started: fenced, too late, or no room.
    };

    TaskId task;
    Attempt attempt = 0;
    State state = State::Running;
    Resources used; ///< Measured use, lagging.
    std::string checkpoint; ///< Object name of the saved state, if any.
    std::string detail; ///< Exit text or refusal reason.
    Resources limit = {}; ///< `resources` of the start command; all zero if the worker does not tell.
    std::string label = {}; ///< `label` of the start command.

    /// True if the attempt does not run and never will again.
    bool isTerminal() const;
};

const char *taskReportStateName(TaskReport::State state);

void to_json(nlohmann::json &json, const TaskReport &report);
void from_json(const nlohmann::json &json, TaskReport &report);

} // namespace fescueledge
