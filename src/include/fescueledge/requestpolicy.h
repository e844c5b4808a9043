#pragma once

#include "fescueledge/endpointchoice.h"
#include "fescueledge/types.h"

#include <memory>

namespace fescueledge {

/// Configurable strategies of request routing. The daemon runs with the defaults.
struct RequestPolicy
{
    std::shared_ptr<EndpointChoice> choice = makeLatencyAwareChoice(); ///< Picks one of the endpoints with a free slot.
    bool hedging = true; ///< Send slow idempotent requests a second time within the retry budget.
    bool ejection = true; ///< Eject endpoints that fail all requests.
    bool forwarding = true; ///< Forward requests to other nodes that own workers of the pool.
    Milliseconds capacityNoticeInterval{250}; ///< Time between capacity notices.
};

} // namespace fescueledge
