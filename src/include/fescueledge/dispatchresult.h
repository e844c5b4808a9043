#pragma once

#include "fescueledge/endpointclient.h"
#include "fescueledge/errorkind.h"
#include "fescueledge/runoutcome.h"
#include "fescueledge/types.h"

#include <string>

namespace fescueledge {

/// What became of one request of a caller, or of one attempt to run it.
struct DispatchResult
{
    std::string requestId;
    bool ok = false; ///< True if @c response is the whole answer to this very request, whatever its status.
    ServiceResponse response;
    ErrorKind error = ErrorKind::Internal; ///< For failures: the type.
    std::string message; ///< For failures: details for the caller.
    RunOutcome outcome = RunOutcome::Unknown; ///< For failures: what is known about the effect.
    NodeId node; ///< Node that sent it to the endpoint last; empty if none did.
    WorkerId worker; ///< Worker that it was sent to last; empty if it was sent to none.
    int attempts = 0; ///< Attempts made by the node that the caller asked.
    bool replayed = false; ///< True if the answer is the stored one of an earlier request with the same key.
    Milliseconds retryAfter{0}; ///< For refusals under load: when to try again; 0 for no hint.
};

} // namespace fescueledge
