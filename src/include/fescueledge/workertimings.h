#pragma once

#include "fescueledge/types.h"

namespace fescueledge {

/// Intervals and time limits of the owner of a rack.
struct WorkerTimings
{
    Milliseconds tickInterval{100}; ///< Period of the systems.
    Milliseconds exchangeInterval{1000}; ///< Period of the exchange with each worker.
    Milliseconds exchangeTimeout{2000}; ///< Timeout of an exchange with a worker.
    Milliseconds workerLease{30000}; ///< Lease of the tasks on a worker.
    Milliseconds renewWindow{3000}; ///< Age above which the worker rejects a lease renewal.
    Milliseconds startWindow{1500}; ///< Age above which the worker rejects a start command.
    Milliseconds silenceTimeout{10000}; ///< Time without an answer after which a worker's leases are no longer renewed.
    Milliseconds holdTimeout{5000}; ///< Time after which a reservation expires.
    Milliseconds outcomeInterval{1000}; ///< Period of the reports to queue owners.
    Milliseconds runningInterval{5000}; ///< Period at which the reports also include running attempts.
    Milliseconds capacityInterval{1000}; ///< Period of the capacity notices.
    Milliseconds callTimeout{2000}; ///< Timeout of a call to another node.
    double maxClockDrift = 0.01; ///< Maximum relative difference in rate between two clocks.
};

} // namespace fescueledge
