#pragma once

#include "fescueledge/resources.h"
#include "fescueledge/types.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace fescueledge {

/// A worker's report about one of its attempts.
struct TaskReport
{
    enum class State {
        Running,
        Finished, ///< Ended with success.
        Failed, ///< Ended with an error.
        Checkpointed, ///< Stopped after saving its state.
        Stopped, ///< Stopped on command, or because the worker-side lease expired.
        Refused, ///< Never started: fenced, too late, or too little capacity.
    };

    TaskId task;
    Attempt attempt = 0;
    State state = State::Running;
    Resources used; ///< Measured use, lagging.
    std::string checkpoint; ///< Name of the object with the saved state, if any.
    std::string detail; ///< Exit message, or reason of the refusal.
    Resources limit = {}; ///< `resources` of the start command; all zero if the worker does not report it.
    std::string label = {}; ///< `label` of the start command.

    /// True if the attempt has ended for good.
    bool isTerminal() const;
};

const char *taskReportStateName(TaskReport::State state);

void to_json(nlohmann::json &json, const TaskReport &report);
void from_json(const nlohmann::json &json, TaskReport &report);

} // namespace fescueledge
