#pragma once

#include "fescueledge/tablelimits.h"
#include "fescueledge/types.h"

namespace fescueledge::workflow {

/// Times and limits of workflow coordination. The times and the length of a row are settings of section `[workflow]`.
struct CoordinatorSettings
{
    /// Lease in each order to a worker. Longer than a takeover, but short enough to resume work soon after a worker was
    /// lost.
    Milliseconds workerLease{4000};
    /// A worker shortens a longer lease to this, on its own clock.
    Milliseconds maxWorkerLease{10000};
    /// Maximum time that an observe call waits for a run to end. Together with observeTimeout well below the lease.
    Milliseconds observeWait{800};
    /// Timeout of the answer to an observe call, added to observeWait.
    Milliseconds observeTimeout{600};
    /// Timeout of a worker's first answer in a term, which new starts wait for. A healthy worker answers within a few
    /// milliseconds, on a busy node within a hundred.
    Milliseconds adoptTimeout{200};
    /// Timeout of a start, stop or pace order.
    Milliseconds orderTimeout{500};
    /// Delay before a failed order is retried.
    Milliseconds orderRetryDelay{200};
    /// A coordinator that has not confirmed its term with the store or a peer for this long sends no orders.
    Milliseconds isolationTimeout{1500};
    /// How long after a worker has announced its shutdown tasks may still start there.
    Milliseconds drainNotice{2000};
    /// Time that a worker takes at most to stop a run. It lists the run as active meanwhile.
    Milliseconds stopGrace{2000};
    /// How long the state of an ended job can be queried.
    Milliseconds statusRetention{130000};
    /// Minimum time between two writes of progress; limits the calls to the store.
    Milliseconds writeInterval{40};
    /// Maximum time that a watch on the list of workers or jobs waits for a change before it is renewed.
    Milliseconds watchTimeout{1000};
    /// Whether submissions are refused at once while the store answers no call of this node.
    bool detectSilentStore = false;
    /// Whether a slowed filler is moved only if it is expected to end clearly earlier elsewhere.
    bool weighMoves = false;
    /// Whether workers are reserved for large tasks that find no room, and small ones fill the time until then.
    bool lookAhead = false;
    /// What the store accepts in one transaction.
    TableLimits tableLimits;
};

} // namespace fescueledge::workflow
