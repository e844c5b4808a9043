#pragma once

#include "fescueledge/types.h"

#include <string>

/// Keys of the rows that coordination keeps in the table service: `collection/name` or `collection/partition/name`.
///
/// Jobs are accepted in partitions of their own (see WatchableTable), so that they and the coordinator's writes don't
/// wait for each other when the service is slow.
namespace fescueledge::workflow::rows {

/// The coordinator of the newest term. Every transaction of a coordinator is conditioned on it.
inline std::string coordinator()
{
    return "coordinator/current";
}

/// A copy of the newest term among the jobs, so that watches of the jobs report it in the order of events.
inline std::string termMarker()
{
    return "job/.term";
}

/// Job ids are random hexadecimal digits, so the first one selects one of sixteen partitions.
inline std::string job(const JobId &id)
{
    return "job/" + id.substr(0, 1) + "/" + id;
}

inline bool isSamePartition(const JobId &a, const JobId &b)
{
    return a.compare(0, 1, b, 0, 1) == 0;
}

/// A request to cancel a job. Where there is no job, it keeps the job from being stored.
inline std::string cancellation(const JobId &id)
{
    return job(id) + ".cancel";
}

inline std::string progress(const JobId &id)
{
    return "progress/" + id;
}

/// The workers that may run something, as earlier versions wrote them: all in one row.
inline std::string wholeWorkerRecord()
{
    return "occupied/workers";
}

/// Part @p part of the record of workers that may run something; all parts sort after wholeWorkerRecord().
inline std::string workerRecordPart(std::size_t part)
{
    constexpr const char *digits = "0123456789abcdef";
    return wholeWorkerRecord() + "." + digits[part / 16] + digits[part % 16];
}

/// The interference model: how fillers affect serving tasks.
inline std::string interference()
{
    return "occupied/interference";
}

inline std::string node(const NodeId &id)
{
    return "node/" + id;
}

} // namespace fescueledge::workflow::rows
