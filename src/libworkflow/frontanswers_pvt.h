#pragma once

#include "entities_pvt.h"
#include "fescueledge/commitresult.h"
#include "fescueledge/workflow/workflownode.h"

#include <string>

namespace fescueledge {
struct Row;
}

namespace fescueledge::workflow {

/// Whose job it is.
struct JobOwner
{
    std::string account; ///< Empty if it has none.
    std::string queue;
};

/// Name of @p phase in answers to callers.
const char *phaseName(JobPhase phase);
/// Outcome of a caller's write, for logs.
const char *commitName(CommitStatus status);

/// The request has not been carried out and never will be; tells the caller when to retry.
CallerAnswer unavailable(const std::string &detail);
CallerAnswer stateAnswer(const std::string &state);
CallerAnswer outcomeAnswer(CallerOutcome outcome, const std::string &detail = {});
/// The job belongs to another account than the request is for.
CallerAnswer otherAccountAnswer();
/// Whether a job of @p owner is closed to @p caller. Jobs without an account are open to all.
bool isClosedTo(const Caller &caller, const JobOwner &owner);
/// The same for the job in row @p job; one that can't be read counts as open to all.
bool isRowClosedTo(const Caller &caller, const Row &job);
/// The answer to a caller whose write ended with @p status.
CallerAnswer commitAnswer(CommitStatus status);

} // namespace fescueledge::workflow
