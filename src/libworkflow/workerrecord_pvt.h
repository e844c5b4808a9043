#pragma once

#include "fleettable_pvt.h"

#include <string>

namespace fescueledge::workflow {

/// One worker of the durable record of workers that may run something.
///
/// A new coordinator needs to know the runs of each of them before it restarts tasks that an earlier one may have
/// started there. For a worker that had stopped answering, the record names the runs it may have, so that only their
/// tasks have to wait.
struct RecordedWorker
{
    WorkerEntry entry; ///< Id, address, service and location only.
    bool namesRuns = false;
    std::vector<std::pair<TaskKey, RunNumber>> runs;
    /// When its lease has certainly expired, on the table service's clock; zero if the record does not tell.
    Milliseconds leaseEnd{0};
};

/// A part of the record as the value of a row.
struct EncodedRecordPart
{
    std::string value; ///< Empty if it can't be made short enough.
    std::set<WorkerId> withoutRuns; ///< Workers whose runs were left out for want of room.
};

/// Encodes the record of the workers in @p part in at most @p maxBytes. The runs of workers for which there is no room
/// are left out: the next coordinator then waits for these workers, or for the end of their leases.
EncodedRecordPart encodeRecordPart(const RecordPart &part, std::size_t maxBytes);
/// Decodes a part, or the record of all workers as earlier versions wrote it.
/// @throws nlohmann::json::exception if @p value can't be read.
std::vector<RecordedWorker> decodeRecordPart(const std::string &value);

} // namespace fescueledge::workflow
