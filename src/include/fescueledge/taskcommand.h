#pragma once

#include "fescueledge/resources.h"
#include "fescueledge/types.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace fescueledge {

/// An order from the owner of a worker about one attempt of a task. Every kind is idempotent.
struct TaskCommand
{
    enum class Kind {
        Start, ///< Run the attempt, from the checkpoint if one is named.
        Throttle, ///< Limit the attempt to `cpuShare` of its processors.
        Checkpoint, ///< Save the state, stop, and report `Checkpointed`.
        Stop, ///< Stop without saving and report `Stopped`.
        Forget, ///< The terminal report is durable; drop it.
    };

    Kind kind = Kind::Start;
    TaskId task;
    Attempt attempt = 0;
    Resources resources; ///< Start: what the attempt may use at most.
    std::string payload; ///< Start: the caller's description of the work, opaque to the scheduler.
    std::string checkpoint; ///< Start: object name of the state to resume from; empty to begin anew.
    double cpuShare = 1.0; ///< Throttle: share of the processors, in (0, 1].
    std::string label = {}; ///< Start: opaque to the worker; it repeats it in every report of the attempt.
};

void to_json(nlohmann::json &json, const TaskCommand &command);
void from_json(const nlohmann::json &json, TaskCommand &command);

} // namespace fescueledge
