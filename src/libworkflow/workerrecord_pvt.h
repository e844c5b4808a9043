#pragma once

#include "fleettable_pvt.h"

#include <string>

namespace fescueledge::workflow {

/// One worker of the durable record of workers that may run something.
///
/// A new coordinator must hear of each of them before it starts again what an earlier one may have started there. For
/// a worker that had fallen silent the record names what it may run, so that only those tasks have to wait.
struct RecordedWorker
{
    WorkerEntry entry; ///< Address, service and place only.
    bool namesRuns = false;
    std::vector<std::pair<TaskKey, RunNumber>> runs;
};

/// Whether the record names the runs of @p worker: then it gets no starts until it is written again without them.
bool namesRuns(const Worker &worker);
std::string encodeWorkerRecord(const FleetTable &fleet);
/// @throws nlohmann::json::exception if @p value can't be read.
std::vector<RecordedWorker> decodeWorkerRecord(const std::string &value);

} // namespace fescueledge::workflow
