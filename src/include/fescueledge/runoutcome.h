#pragma once

namespace fescueledge {

/// What is known about the effect of a failed request.
enum class RunOutcome {
    NotRun, ///< No byte reached an endpoint, or the store rejected the write.
    Ran, ///< The work ran; the failure occurred afterwards.
    Unknown, ///< It may have run.
};

/// The name used in JSON answers: `not run`, `ran` or `unknown`.
const char *runOutcomeName(RunOutcome outcome);

} // namespace fescueledge
