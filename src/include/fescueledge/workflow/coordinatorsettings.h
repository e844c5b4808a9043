#pragma once

#include "fescueledge/types.h"

namespace fescueledge::workflow {

/// Times of the coordination of workflows. All are settings of section `[workflow]`.
struct CoordinatorSettings
{
    /// Lease in each order to a worker. Longer than a takeover, short enough to go on soon after a worker was lost.
    Milliseconds workerLease{4000};
    /// How long an observation waits for an end; with its timeout well below the lease.
    Milliseconds observeWait{800};
    /// Added to the wait for the answer itself.
    Milliseconds observeTimeout{600};
    /// For the first answer of a worker in a term, which new starts wait for: a healthy one takes a few milliseconds,
    /// on a busy node a hundred.
    Milliseconds adoptTimeout{200};
    /// For a start, stop or pace order.
    Milliseconds orderTimeout{500};
    /// Before an order that failed is tried again.
    Milliseconds orderRetry{200};
    /// A coordinator that has confirmed its term for so long with neither store nor peers sends no orders.
    Milliseconds isolationLimit{1500};
    /// How long the state of an ended job can be asked for.
    Milliseconds statusRetention{130000};
    /// Least time between two writes of progress: bounds the calls to the store.
    Milliseconds writeInterval{40};
    /// A change in the list of workers or of jobs is asked for again after so long without an answer.
    Milliseconds watchWait{1000};
};

} // namespace fescueledge::workflow
