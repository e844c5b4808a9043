#pragma once

#include "fescueledge/types.h"
#include "fescueledge/workflow/coordinatorsettings.h"

#include <string>

namespace fescueledge {

/// Section `[node]`: who this daemon is.
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

/// Section `[platform]`: where the platform's services are and how long to wait for them.
struct PlatformSettings
{
    std::string tableService; ///< `ip:port`.
    std::string objectStore; ///< `ip:port`.
    std::string vmList; ///< `ip:port`.
    Milliseconds tableTimeout{0};
    Milliseconds objectTimeout{0};
    Milliseconds vmListTimeout{0};
    Milliseconds vmListInterval{0}; ///< Time between two reads of the VM list.
    Milliseconds workerTimeout{0}; ///< For one exchange with a worker's agent.
};

/// Section `[operator]`: exactly one of the two is set.
struct OperatorSettings
{
    std::string token;
    std::string tokenFile;
};

/// Section `[leases]`. Checked so that a change is in force everywhere in less than 8 s.
struct LeaseSettings
{
    Milliseconds store{0}; ///< Lease from a renewed row in the table service.
    Milliseconds grant{0}; ///< Grant from another node.
    Milliseconds worker{0}; ///< Lease of the tasks on a worker.
    int driftPercent = 0; ///< Difference of clock rates between two VMs, at most.
};

/// Section `[limits]`.
struct LimitSettings
{
    int threads = 0; ///< Threads that serve HTTP connections, for each listener.
    int bodyMb = 0; ///< Size of a request body, at most.
    Milliseconds drain{0}; ///< Time that a shutdown waits for requests in flight, at most.
};

/// Section `[log]`.
struct LogSettings
{
    std::string directory; ///< Empty for no log files.
    std::string level; ///< `info`, `warning` or `error`.
    bool toStderr = false;
};

/// Section `[workflow]`: running on a platform that registers its own workers and keeps the configuration.
struct WorkflowSettings
{
    bool enabled = false;
    std::string ready; ///< Listener for the balancer's question whether this node takes callers.
    std::string metrics; ///< Listener for the metrics page; empty for none.
    double cores = 1; ///< Processor time of this VM, in cores.
    workflow::CoordinatorSettings times;
};

/// The settings file of one daemon, checked.
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
constexpr Milliseconds inForceBound{8000};

/// The longest time from the commit of a change until it is in force everywhere, under @p settings.
Milliseconds inForceTime(const DaemonSettings &settings);

} // namespace fescueledge
