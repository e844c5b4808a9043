#pragma once

#include "fescueledge/endpointchoice.h"
#include "fescueledge/types.h"

#include <memory>

namespace fescueledge {

/// The parts of request routing that vary. The defaults are what the daemon runs with.
struct RequestPolicy
{
    std::shared_ptr<EndpointChoice> choice = makeLatencyAwareChoice(); ///< Picks an endpoint among those with a slot.
    bool hedging = true; ///< Send slow idempotent requests a second time within the retry budget.
    bool ejection = true; ///< Eject endpoints that fail everything.
    bool forwarding = true; ///< Hand requests to other owners of the pool.
    Milliseconds noticePeriod{250}; ///< Time between two capacity notices.
};

} // namespace fescueledge
