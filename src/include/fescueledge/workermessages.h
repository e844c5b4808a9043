#pragma once

#include "fescueledge/taskcommand.h"
#include "fescueledge/taskreport.h"
#include "fescueledge/types.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace fescueledge {

/// A message to a worker from its owner. It renews the lease of all tasks on the worker and carries commands.
struct WorkerRequest
{
    NodeId owner;
    Epoch epoch = 0; ///< Fencing token; the worker rejects a message with a smaller epoch than it has seen.
    Milliseconds lease{0}; ///< Tasks stop unless another message arrives within this time.
    /// Once the worker's clock is past this time, it rejects start commands and does not renew leases. The epoch and
    /// the other commands apply at any time.
    Milliseconds startBefore{0};
    std::vector<TaskCommand> commands;
};

/// The worker's answer: the epoch it has accepted, its attempts, and lagging measurements.
struct WorkerReply
{
    bool fenced = false; ///< True if the epoch was too small; nothing was done.
    Epoch epoch = 0; ///< The largest epoch seen.
    Milliseconds clock{0}; ///< The worker's own monotonic clock.
    std::vector<TaskReport> tasks; ///< Running attempts, and terminal ones until they are discarded on command.
    int requestsInFlight = 0; ///< Requests in flight at the endpoint, of any epoch.
    Resources used; ///< Measured use of the whole VM, lagging.
    Milliseconds serviceP99{0}; ///< Measured p99 latency of the endpoint over the last window, lagging.
};

void to_json(nlohmann::json &json, const WorkerRequest &request);
void from_json(const nlohmann::json &json, WorkerRequest &request);
void to_json(nlohmann::json &json, const WorkerReply &reply);
void from_json(const nlohmann::json &json, WorkerReply &reply);

} // namespace fescueledge
