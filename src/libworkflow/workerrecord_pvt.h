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
};

/// Whether the record names the runs of @p worker. If so, the worker gets no starts until the record is written without
/// them.
bool namesRuns(const Worker &worker);
std::string encodeWorkerRecord(const FleetTable &fleet);
/// @throws nlohmann::json::exception if @p value can't be read.
std::vector<RecordedWorker> decodeWorkerRecord(const std::string &value);

} // namespace fescueledge::workflow
