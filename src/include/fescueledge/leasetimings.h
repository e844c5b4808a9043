#pragma once

#include "fescueledge/types.h"

namespace fescueledge {

/// Durations of the membership protocol. All daemons of a deployment must use the same values.
struct LeaseTimings
{
    Milliseconds storeLease{3000}; ///< Duration of the lease from renewing the node's row.
    Milliseconds grant{2000}; ///< Duration of a grant from another node.
    Milliseconds renewInterval{1000}; ///< Between renewals of the node's row.
    Milliseconds grantInterval{500}; ///< Between requests for a grant.
    Milliseconds directoryInterval{1000}; ///< Between reads of the rows of nodes and shards.
    Milliseconds peerTimeout{400}; ///< For calls to other nodes.
    Milliseconds controlPollInterval{200}; ///< Between polls of nodes that have not acknowledged a version.
    Milliseconds inForceTimeout{8000}; ///< Time after which an operator is told which nodes are still missing.
    Milliseconds storeResolveTimeout{5000}; ///< For resolving a write whose answer was lost.
    Milliseconds joinDelay{4000}; ///< Time that an incarnation must have been seen before shards move to it.
    Milliseconds silenceTimeout{10000}; ///< Time without contact after which a new grantor group omits a node.
    Milliseconds absenceTimeout{10000}; ///< Time after which a VM missing from the VM list counts as removed.
    double driftAllowance = 0.03; ///< Upper bound of the relative difference in clock rate between two nodes.

    /// The time to wait on this clock so that @p span has passed on every node's clock.
    Duration withDrift(Duration span) const
    {
        return Duration(static_cast<Duration::rep>(static_cast<double>(span.count()) * (1.0 + driftAllowance)));
    }
};

} // namespace fescueledge
