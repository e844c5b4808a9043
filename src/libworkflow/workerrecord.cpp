#include "workerrecord_pvt.h"

#include <nlohmann/json.hpp>

namespace fescueledge::workflow {

using nlohmann::json;

bool namesRuns(const Worker &worker)
{
    return worker.contact == WorkerContact::Silent
        || (worker.contact == WorkerContact::Unadopted && worker.recordNamesRuns);
}

std::string encodeWorkerRecord(const FleetTable &fleet)
{
    json out = json::array();
    for (const auto &[id, worker] : fleet.all()) {
        json entry{{"id", id},
                   {"address", worker->entry.address},
                   {"service", worker->entry.service},
                   {"dataCentre", worker->entry.dataCentre},
                   {"rack", worker->entry.rack}};
        if (namesRuns(*worker)) {
            json runs = json::array();
            for (const Task *task : worker->tasks) {
                const TaskKey key = keyOf(*task);
                runs.push_back({key.job, key.occurrence, key.step, key.index, task->run});
            }
            for (const EarlierRun &earlier : worker->earlierRuns) {
                const TaskKey &key = earlier.task;
                runs.push_back({key.job, key.occurrence, key.step, key.index, earlier.run});
            }
            entry["runs"] = runs;
        }
        out.push_back(entry);
    }
    const std::vector<std::uint8_t> bytes = json::to_cbor(out);
    return std::string(bytes.begin(), bytes.end());
}

std::vector<RecordedWorker> decodeWorkerRecord(const std::string &value)
{
    std::vector<RecordedWorker> out;
    for (const json &entry : json::from_cbor(value)) {
        RecordedWorker worker;
        worker.entry.id = entry.at("id").get<std::string>();
        worker.entry.address = entry.at("address").get<std::string>();
        worker.entry.service = entry.at("service").get<std::string>();
        worker.entry.dataCentre = entry.at("dataCentre").get<std::string>();
        worker.entry.rack = entry.at("rack").get<std::string>();
        worker.namesRuns = entry.contains("runs");
        if (worker.namesRuns) {
            for (const json &run : entry.at("runs")) {
                const TaskKey key{run.at(0).get<std::string>(), run.at(1).get<std::uint32_t>(),
                                  run.at(2).get<std::uint32_t>(), run.at(3).get<std::uint32_t>()};
                worker.runs.emplace_back(key, run.at(4).get<RunNumber>());
            }
        }
        out.push_back(std::move(worker));
    }
    return out;
}

} // namespace fescueledge::workflow
