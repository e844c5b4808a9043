#pragma once

#include "fescueledge/resources.h"
#include "fescueledge/types.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace fescueledge {

/// A command to a worker from its owner, about one attempt of a task. Every kind is idempotent.
struct TaskCommand
{
    enum class Kind {
        Start, ///< Run the attempt, from the checkpoint if there is one.
        Throttle, ///< Limit the attempt to `cpuShare` of its CPU.
        Checkpoint, ///< Save the state, stop, and report `Checkpointed`.
        Stop, ///< Stop without saving and report `Stopped`.
        Forget, ///< The terminal report is durable; discard it.
    };

    Kind kind = Kind::Start;
    TaskId task;
    Attempt attempt = 0;
    Resources resources; ///< Start: resource limit of the attempt.
    std::string payload; ///< Start: the caller's description of the work, opaque to the scheduler.
    std::string checkpoint; ///< Start: name of the object to resume from; empty to start from the beginning.
    double cpuShare = 1.0; ///< Throttle: share of the CPU, in (0, 1].
    std::string label = {}; ///< Start: opaque to the worker, which returns it in every report of the attempt.
};

void to_json(nlohmann::json &json, const TaskCommand &command);
void from_json(const nlohmann::json &json, TaskCommand &command);

} // namespace fescueledge
