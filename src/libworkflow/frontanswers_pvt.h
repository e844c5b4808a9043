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
FrontAnswer unavailable(const std::string &detail);
FrontAnswer stateAnswer(const std::string &state);
FrontAnswer outcomeAnswer(FrontOutcome outcome, const std::string &detail = {});
/// The answer to a caller whose write ended with @p status.
FrontAnswer commitAnswer(CommitStatus status);

} // namespace fescueledge::workflow
