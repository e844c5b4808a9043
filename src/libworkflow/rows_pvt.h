#pragma once

#include "fescueledge/types.h"

#include <string>

/// Keys of the rows that coordination keeps in the table service: `collection/name` or `collection/partition/name`.
///
/// Jobs are accepted in partitions of their own (see WatchableTable): when the service is slow, neither they nor what
/// the coordinator writes wait for each other.
namespace fescueledge::workflow::rows {

/// The coordinator of the newest term. Every transaction of a coordinator is conditioned on it.
inline std::string coordinator()
{
    return "coordinator/current";
}

/// The newest term again, among the jobs, so that whoever watches the jobs learns of it in the order of events.
inline std::string termMarker()
{
    return "job/.term";
}

/// Identifiers are random hexadecimal digits: sixteen partitions.
inline std::string job(const JobId &id)
{
    return "job/" + id.substr(0, 1) + "/" + id;
}

/// A request to cancel a job.
inline std::string cancellation(const JobId &id)
{
    return job(id) + ".cancel";
}

inline std::string progress(const JobId &id)
{
    return "progress/" + id;
}

/// The workers that may run something.
inline std::string occupiedWorkers()
{
    return "occupied/workers";
}

/// What is learnt of how fillers disturb serving tasks.
inline std::string interference()
{
    return "occupied/interference";
}

inline std::string node(const NodeId &id)
{
    return "node/" + id;
}

} // namespace fescueledge::workflow::rows
