#pragma once

#include "fescueledge/types.h"

#include <string>

namespace fescueledge {

/// The identity of this daemon, from its settings.
struct NodeIdentity
{
    NodeId id;
    DataCentreId dataCentre;
    std::string peerAddress; ///< `ip:port` of the listener for other daemons.
    std::string httpAddress; ///< `ip:port` of the listener for callers and operators.
};

} // namespace fescueledge
