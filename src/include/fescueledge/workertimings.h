#pragma once

#include "fescueledge/types.h"

namespace fescueledge {

/// Intervals and time limits of the owner of a rack.
struct WorkerTimings
{
    Milliseconds tick{100}; ///< Period of the systems.
    Milliseconds exchangeInterval{1000}; ///< Period of the exchange with each worker.
    Milliseconds exchangeTimeout{2000}; ///< Time after which an exchange counts as unanswered.
    Milliseconds workerLease{30000}; ///< Lease of the tasks on a worker.
    Milliseconds renewWindow{3000}; ///< A lease renewal is refused by the worker when it is older than this.
    Milliseconds startWindow{1500}; ///< A start command is refused by the worker when it is older than this.
    Milliseconds silence{10000}; ///< A worker that did not answer for this long gets no lease renewals.
    Milliseconds hold{5000}; ///< Time for which a reservation keeps its room.
    Milliseconds outcomeInterval{1000}; ///< Period of the reports to queue owners.
    Milliseconds runningInterval{5000}; ///< Period at which running attempts are reported, too.
    Milliseconds capacityInterval{1000}; ///< Period of the capacity notices.
    Milliseconds callTimeout{2000}; ///< Time after which a call to another node counts as unanswered.
    double drift = 0.01; ///< Relative difference in speed allowed between two clocks.
};

} // namespace fescueledge
