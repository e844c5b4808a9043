#include "workerrecord_pvt.h"

#include <nlohmann/json.hpp>

namespace fescueledge::workflow {

using nlohmann::json;

namespace {

/// Positions in an encoded worker.
enum Field { IdField, AddressField, ServiceField, DataCentreField, RackField, RunsField, LeaseEndField };

json encodeRuns(const Worker &worker)
{
    json runs = json::array();
    for (const Task *task : worker.tasks) {
        const TaskKey key = keyOf(*task);
        runs.push_back({key.job, key.occurrence, key.step, key.index, task->run});
    }
    for (const EarlierRun &earlier : worker.earlierRuns) {
        const TaskKey &key = earlier.task;
        runs.push_back({key.job, key.occurrence, key.step, key.index, earlier.run});
    }
    for (const PendingEnd &end : worker.life.pendingEnds) {
        const TaskKey &key = end.task;
        runs.push_back({key.job, key.occurrence, key.step, key.index, end.run});
    }
    return runs;
}

json encodeWorker(const Worker &worker)
{
    const WorkerEntry &entry = worker.entry;
    json out = json::array({worker.id, entry.address, entry.service, entry.dataCentre, entry.rack});
    const bool leaseEnd = worker.leaseEndForRecord != Milliseconds::zero();
    if (namesRuns(worker) || leaseEnd) {
        out.push_back(namesRuns(worker) ? encodeRuns(worker) : json());
    }
    if (leaseEnd) {
        out.push_back(worker.leaseEndForRecord.count());
    }
    return out;
}

std::string toText(const json &value)
{
    const std::vector<std::uint8_t> bytes = json::to_cbor(value);
    return std::string(bytes.begin(), bytes.end());
}

/// Leaves out the longest list of runs in @p workers. Returns whose it was; empty if there is none.
WorkerId dropLongestRuns(json *workers)
{
    json *longest = nullptr;
    for (json &worker : *workers) {
        if (worker.size() > RunsField && worker.at(RunsField).is_array()
            && (longest == nullptr || worker.at(RunsField).size() > longest->at(RunsField).size())) {
            longest = &worker;
        }
    }
    if (longest == nullptr) {
        return WorkerId();
    }
    if (longest->size() > LeaseEndField) {
        longest->at(RunsField) = json();
    } else {
        longest->erase(RunsField);
    }
    return longest->at(IdField).get<std::string>();
}

RecordedWorker decodeWorker(const json &in)
{
    const bool named = in.is_object(); // As earlier versions wrote it.
    const auto text = [&in, named](const char *name, Field field) {
        return (named ? in.at(name) : in.at(field)).get<std::string>();
    };
    RecordedWorker worker;
    worker.entry.id = text("id", IdField);
    worker.entry.address = text("address", AddressField);
    worker.entry.service = text("service", ServiceField);
    worker.entry.dataCentre = text("dataCentre", DataCentreField);
    worker.entry.rack = text("rack", RackField);
    worker.namesRuns = named ? in.contains("runs") : in.size() > RunsField && in.at(RunsField).is_array();
    if (worker.namesRuns) {
        for (const json &run : named ? in.at("runs") : in.at(RunsField)) {
            const TaskKey key{run.at(0).get<std::string>(), run.at(1).get<std::uint32_t>(),
                              run.at(2).get<std::uint32_t>(), run.at(3).get<std::uint32_t>()};
            worker.runs.emplace_back(key, run.at(4).get<RunNumber>());
        }
    }
    if (!named && in.size() > LeaseEndField) {
        worker.leaseEnd = Milliseconds(in.at(LeaseEndField).get<std::int64_t>());
    }
    return worker;
}

} // namespace

EncodedRecordPart encodeRecordPart(const RecordPart &part, std::size_t maxBytes)
{
    json workers = json::array();
    for (const Worker *worker : part.workers) {
        workers.push_back(encodeWorker(*worker));
    }
    EncodedRecordPart out;
    out.value = toText(workers);
    while (out.value.size() > maxBytes) {
        const WorkerId shortened = dropLongestRuns(&workers);
        if (shortened.empty()) {
            return EncodedRecordPart{};
        }
        out.withoutRuns.insert(shortened);
        out.value = toText(workers);
    }
    return out;
}

std::vector<RecordedWorker> decodeRecordPart(const std::string &value)
{
    std::vector<RecordedWorker> out;
    for (const json &worker : json::from_cbor(value)) {
        out.push_back(decodeWorker(worker));
    }
    return out;
}

} // namespace fescueledge::workflow
