#pragma once

#include "fescueledge/types.h"
#include "fescueledge/workflow/coordinatorsettings.h"

#include <optional>
#include <string>

namespace fescueledge {

/// Section `[node]`: identity of this daemon.
struct NodeSettings
{
    NodeId name;
    DataCentreId dataCentre;
};

/// Section `[listen]`: `ip:port` of each listener.
struct ListenSettings
{
    std::string caller;
    std::string operatorAddress; ///< Key `operator`.
    std::string peer;
};

/// Section `[platform]`: addresses and timeouts of the platform's services.
struct PlatformSettings
{
    std::string tableService; ///< `ip:port`.
    std::string objectStore; ///< `ip:port`.
    std::string vmList; ///< `ip:port`.
    Milliseconds tableTimeout{0};
    Milliseconds objectTimeout{0};
    Milliseconds vmListTimeout{0};
    Milliseconds vmListInterval{0}; ///< Time between reads of the VM list.
    Milliseconds workerTimeout{0}; ///< For one exchange with a worker's agent.
};

/// Section `[operator]`: exactly one of the members is set.
struct OperatorSettings
{
    std::string token;
    std::string tokenFile;
};

/// Section `[leases]`. Validation ensures that a change is in force everywhere in less than 8 s.
struct LeaseSettings
{
    Milliseconds store{0}; ///< Duration of the lease from renewing the node's row in the table service.
    Milliseconds grant{0}; ///< Duration of a grant from another node.
    Milliseconds worker{0}; ///< Duration of the lease of the tasks on a worker.
    int driftPercent = 0; ///< Maximum difference in clock rate between two VMs.
};

/// Section `[limits]`.
struct LimitSettings
{
    int threads = 0; ///< Threads per listener that serve HTTP connections.
    int bodyMb = 0; ///< Maximum size of a request body, in MB.
    Milliseconds drain{0}; ///< Maximum time that a shutdown waits for requests in flight.
};

/// Section `[log]`.
struct LogSettings
{
    std::string directory; ///< Empty for no log files.
    std::string level; ///< `info`, `warning` or `error`.
    bool toStderr = false;
};

/// Section `[workflow]`: for platforms that register their own workers and store the configuration.
struct WorkflowSettings
{
    bool enabled = false;
    std::string ready; ///< Listener for the load balancer's readiness check.
    std::string metrics; ///< Listener for the metrics page; empty for none.
    double cores = 1; ///< CPU capacity of this VM, in cores.
    /// A revoked key is refused after this time, also by a node that doesn't learn of it; without it, a node admits the
    /// keys that it knows.
    std::optional<Milliseconds> keyRevocationTimeout;
    std::size_t memoryMb = 160; ///< Memory that this process may use, in units of 1,048,576 bytes.
    std::size_t descriptors = 4100; ///< Descriptors that this process may have open.
    /// Bytes that unfinished requests of all clients may occupy together; without it, see clientShare().
    std::optional<std::size_t> inputMemory;
    /// Connections that clients may have to one listener; without it, see clientShare().
    std::optional<std::size_t> maxConnections;
    workflow::CoordinatorSettings times;
};

/// The validated settings of one daemon.
struct DaemonSettings
{
    NodeSettings node;
    ListenSettings listen;
    PlatformSettings platform;
    OperatorSettings operatorAccess;
    LeaseSettings leases;
    LimitSettings limits;
    LogSettings log;
    WorkflowSettings workflow;
};

/// A change must be in force on every node within this time.
constexpr Milliseconds maxInForceTime{8000};

/// The longest time from the commit of a change until it is in force everywhere, under @p settings.
Milliseconds inForceTime(const DaemonSettings &settings);

} // namespace fescueledge
