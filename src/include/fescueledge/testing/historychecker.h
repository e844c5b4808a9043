#pragma once

#include "fescueledge/runoutcome.h"
#include "fescueledge/types.h"

#include <optional>
#include <string>
#include <vector>

namespace fescueledge {

/// One operation on a versioned register, as recorded by its client.
///
/// The register has a value and a version. A change names its expected version; if that is the current one, the value
/// is replaced and the version increases by one, otherwise the change has no effect.
struct RegisterOperation
{
    enum class Kind {
        Read,
        Change,
    };
    enum class Outcome {
        Done, ///< The read answered, or the change was accepted.
        Refused, ///< The change had no effect, because its expected version was not the current one.
        Unknown, ///< No answer arrived. The operation may take effect at any later time, or never.
    };

    Kind kind = Kind::Read;
    Outcome outcome = Outcome::Unknown;
    TimePoint invoked;
    TimePoint returned; ///< Ignored if the outcome is unknown.
    std::uint64_t version = 0; ///< Version read, or the expected version of a change.
    std::string value; ///< Value read, or the new value of a change.
};

/// An event of a keyed order.
struct OrderEvent
{
    enum class Kind {
        Ran, ///< The endpoint executed the order.
        Answered, ///< The caller got an answer with `outcome`.
    };

    Kind kind = Kind::Ran;
    std::string key;
    RunOutcome outcome = RunOutcome::NotRun; ///< Of an answer.
};

/// An event of a task.
struct FinishEvent
{
    enum class Kind {
        Accepted, ///< The caller got the answer that the task was accepted.
        Started, ///< A worker began an attempt.
        Stopped, ///< A worker ended an attempt without finishing the task.
        Finished, ///< A worker finished the task in an attempt.
    };

    Kind kind = Kind::Accepted;
    TaskId task;
    Attempt attempt = 0;
};

/// Checks that the @p history of one register is linearizable, by a search over all orders that respect real time.
/// Returns nullopt if there is such an order, otherwise a description of the violation. The initial state is version 0
/// and an empty value.
std::optional<std::string> checkLinearizable(const std::vector<RegisterOperation> &history);

/// Checks that each key ran at most once and that answers agree with what ran. Events must be in order of time.
/// Returns nullopt, or a description of the violation.
std::optional<std::string> checkAtMostOnce(const std::vector<OrderEvent> &history);

/// Checks that each accepted task finished exactly once, with at most one attempt running at a time. Events must be in
/// order of time, up to when all tasks should be done. Returns nullopt, or a description of the violation.
std::optional<std::string> checkExactlyOnce(const std::vector<FinishEvent> &history);

} // namespace fescueledge
