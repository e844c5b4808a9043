#pragma once

#include "fescueledge/endpointclient.h"
#include "fescueledge/errorkind.h"
#include "fescueledge/runoutcome.h"
#include "fescueledge/types.h"

#include <string>

namespace fescueledge {

/// The result of one request of a caller, or of one attempt to run it.
struct DispatchResult
{
    std::string requestId;
    bool ok = false; ///< True if @c response is the complete answer to this request, with any status.
    ServiceResponse response;
    ErrorKind error = ErrorKind::Internal; ///< For failures: the kind.
    std::string message; ///< For failures: details for the caller.
    RunOutcome outcome = RunOutcome::Unknown; ///< For failures: what is known about the effect.
    NodeId node; ///< Last node that sent it to an endpoint; empty if none did.
    WorkerId worker; ///< Last worker that it was sent to; empty if there was none.
    int attempts = 0; ///< Attempts made by the node that received the caller's request.
    bool replayed = false; ///< True if the answer is the stored answer to an earlier request with the same key.
    Milliseconds retryAfter{0}; ///< For requests rejected under load: delay before a retry; 0 for no hint.
};

} // namespace fescueledge
