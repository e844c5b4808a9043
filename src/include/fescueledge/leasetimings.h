#pragma once

#include "fescueledge/types.h"

namespace fescueledge {

/// Durations of the membership protocol. All daemons of one service must use the same values.
struct LeaseTimings
{
    Milliseconds storeLease{3000}; ///< Time that a renewal of the node's row gives.
    Milliseconds grant{2000}; ///< Time that a grant of another node gives.
    Milliseconds renewInterval{1000}; ///< Between renewals of the node's row.
    Milliseconds grantInterval{500}; ///< Between requests for a grant.
    Milliseconds directoryInterval{1000}; ///< Between reads of the rows of nodes and shards.
    Milliseconds peerTimeout{400}; ///< For calls to other nodes.
    Milliseconds controlPollInterval{200}; ///< Between questions to nodes that have not acknowledged a version.
    Milliseconds inForcePatience{8000}; ///< After which an operator is told which nodes are waited for.
    Milliseconds storePatience{5000}; ///< For finding out what became of a write whose answer was lost.
    Milliseconds joinDelay{4000}; ///< A node must have been seen for this long before shards move to it.
    Milliseconds silenceLimit{10000}; ///< After which a silent node is left out of a new grantor group.
    Milliseconds absenceLimit{10000}; ///< A listed VM is gone for good once it was missing for this long.
    double driftAllowance = 0.03; ///< Clocks of two nodes differ by less than this in speed.

    /// The time to wait on this clock so that @p span has passed on any other.
    Duration withDrift(Duration span) const
    {
        return Duration(static_cast<Duration::rep>(static_cast<double>(span.count()) * (1.0 + driftAllowance)));
    }
};

} // namespace fescueledge
