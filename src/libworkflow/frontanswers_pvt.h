#pragma once

#include "entities_pvt.h"
#include "fescueledge/commitresult.h"
#include "fescueledge/workflow/workflownode.h"

#include <string>

namespace fescueledge::workflow {

/// What callers see of a job in @p phase.
const char *phaseName(JobPhase phase);
/// What became of a caller's write, for logs.
const char *commitName(CommitStatus status);

/// Not done, and never will be; with a time to come back.
FrontAnswer unavailable(const std::string &detail);
FrontAnswer stateAnswer(const std::string &state);
FrontAnswer outcomeAnswer(FrontOutcome outcome, const std::string &detail = {});
/// The answer to a caller whose write ended so.
FrontAnswer commitAnswer(CommitStatus status);

} // namespace fescueledge::workflow
