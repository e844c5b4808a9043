#pragma once

#include "fescueledge/endpointentry.h"

#include <string>
#include <vector>

namespace fescueledge {

/// Lists the endpoints on the workers that this node owns. All calls on the control loop.
class EndpointDirectory
{
public:
    virtual ~EndpointDirectory() = default;
    /// The endpoints of @p pool, ordered by worker; empty if this node owns none.
    virtual std::vector<EndpointEntry> endpointsOf(const std::string &pool) const = 0;
};

} // namespace fescueledge
