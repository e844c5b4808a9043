#pragma once

#include <chrono>
#include <cstdint>
#include <string>

/// Identifiers and time types that all packages share.
namespace fescueledge {

/// Name of an entry VM that runs the daemon, from its settings. Unique among live VMs.
using NodeId = std::string;
/// Name of a worker VM, as in the platform's VM list.
using WorkerId = std::string;
/// Name of a data centre.
using DataCentreId = std::string;
/// Name of a shard: `rack:<rack>` for the workers of a rack, `queue:<nn>` for a partition of the job queue.
using ShardId = std::string;
/// Identifier of a job, never reused.
using JobId = std::string;
/// Identifier of a task: `<job id>/<index>`.
using TaskId = std::string;

/// Number that the table service assigned to one run of a daemon; later runs have larger numbers.
using Incarnation = std::uint64_t;
/// Fencing token of a shard: it increases by one with each change of owner.
using Epoch = std::uint64_t;
/// Number of one attempt to run a task; the first is 1.
using Attempt = std::uint32_t;
/// Version of the control state (routes, pools, data centres); the first accepted one is 1.
using ControlVersion = std::uint64_t;
/// Version of a row in the table service; 0 means that the row does not exist.
using RowVersion = std::uint64_t;

/// All deadlines and leases are measured on a monotonic clock.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Milliseconds = std::chrono::milliseconds;

} // namespace fescueledge
