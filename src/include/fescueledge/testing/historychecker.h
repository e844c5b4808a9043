#pragma once

#include "fescueledge/runoutcome.h"
#include "fescueledge/types.h"

#include <optional>
#include <string>
#include <vector>

namespace fescueledge {

/// One operation on a versioned register, as its client recorded it.
///
/// The register holds a value and a version. A change names the version that it was made against; if that is the
/// current one, the value is replaced and the version grows by one, else nothing happens.
struct RegisterOperation
{
    enum class Kind {
        Read,
        Change,
    };
    enum class Outcome {
        Done, ///< The read answered, or the change was accepted.
        Refused, ///< The change was answered to have had no effect, as the version was not the current one.
        Unknown, ///< No answer came. The operation may take effect at any later time, or never.
    };

    Kind kind = Kind::Read;
    Outcome outcome = Outcome::Unknown;
    TimePoint invoked;
    TimePoint returned; ///< Ignored if the outcome is unknown.
    std::uint64_t version = 0; ///< Version read, or the one that the change was made against.
    std::string value; ///< Value read, or the new one.
};

/// An event in the life of a keyed order.
struct OrderEvent
{
    enum class Kind {
        Ran, ///< The endpoint carried the order out.
        Answered, ///< The caller got an answer; `outcome` says what it claims.
    };

    Kind kind = Kind::Ran;
    std::string key;
    RunOutcome outcome = RunOutcome::NotRun; ///< Of an answer.
};

/// An event in the life of a task.
struct FinishEvent
{
    enum class Kind {
        Accepted, ///< The caller was told that the task is submitted.
        Started, ///< A worker began an attempt.
        Stopped, ///< A worker ended an attempt without finishing the task.
        Finished, ///< A worker finished the task in an attempt.
    };

    Kind kind = Kind::Accepted;
    TaskId task;
    Attempt attempt = 0;
};

/// Checks @p history of one register for linearizability, by a search over all orders that respect real time.
/// Returns nothing if there is such an order, else what is wrong. The initial state is version 0 and an empty value.
std::optional<std::string> checkLinearizable(const std::vector<RegisterOperation> &history);

/// Checks that each key ran once at most, and that answers claim what happened. Events in the order of time.
std::optional<std::string> checkAtMostOnce(const std::vector<OrderEvent> &history);

/// Checks that each accepted task finished exactly once, with one attempt running at a time. Events in the order of
/// time, up to when all tasks should be done.
std::optional<std::string> checkExactlyOnce(const std::vector<FinishEvent> &history);

} // namespace fescueledge
