#pragma once

#include "entities_pvt.h"
#include "fescueledge/commitresult.h"
#include "fescueledge/workflow/workflownode.h"

#include <string>

namespace fescueledge::workflow {

/// Name of @p phase in answers to callers.
const char *phaseName(JobPhase phase);
/// Outcome of a caller's write, for logs.
const char *commitName(CommitStatus status);

/// The request has not been carried out and never will be; tells the caller when to retry.
CallerAnswer unavailable(const std::string &detail);
CallerAnswer stateAnswer(const std::string &state);
CallerAnswer outcomeAnswer(CallerOutcome outcome, const std::string &detail = {});
/// The answer to a caller whose write ended with @p status.
CallerAnswer commitAnswer(CommitStatus status);

} // namespace fescueledge::workflow
