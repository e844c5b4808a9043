#include "storedjob_pvt.h"

#include "fescueledge/tableservice.h"

#include "jobtable_pvt.h"
#include "queuecontext_pvt.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace fescueledge {

namespace {

std::shared_ptr<Job> makeJob(const JobId &id, const JobRecord &record, RowVersion version, std::map<int, Block> blocks)
{
    const auto table = std::make_shared<JobTable>();
    Job *job = table->add(id, record, version, std::move(blocks), TimePoint());
    return {table, job};
}

StoredJob failure(ErrorKind kind, const std::string &message)
{
    StoredJob result;
    result.error = Error(kind, message);
    return result;
}

void onBlocks(const Row &row, RowVersion cancelRowVersion, const ReadResult &blocks,
              const std::function<void(const StoredJob &)> &handler)
{
    if (!blocks.available) {
        handler(failure(ErrorKind::StoreUnavailable, "the store does not answer"));
        return;
    }
    std::map<int, Block> decoded;
    for (const Row &it : blocks.rows) {
        decoded[std::stoi(lastKeyPart(it.key))] = Block{it.version, decodeBlock(it.value)};
    }
    StoredJob result;
    result.job = decodeJobRow(row, std::move(decoded));
    result.job->cancelRowVersion = cancelRowVersion;
    handler(result);
}

std::string waitReason(const Job &job, const TaskRecord &task, int index)
{
    if (task.state != TaskState::Pending || job.record.isClosed()) {
        return "";
    }
    if (job.busy.count(index) != 0) {
        return "the answer of a node or of the store";
    }
    if (index < job.firstNeverOffered && job.ready.count(index) == 0) {
        return "the delay before its next attempt";
    }
    if (job.isBackingOff) {
        return "the delay after a refusal";
    }
    return job.waitReason.empty() ? "its turn in the order" : job.waitReason;
}

} // namespace

void readStoredJob(QueueContext *context, const JobId &id, const std::function<void(const StoredJob &)> &handler)
{
    context->table->read(
        {jobRowKey(id), doneRowKey(id), cancelRowKey(id)}, [context, id, handler](const ReadResult &result) {
            if (!result.available) {
                handler(failure(ErrorKind::StoreUnavailable, "the store does not answer"));
                return;
            }
            if (const Row *done = result.find(doneRowKey(id))) {
                StoredJob stored;
                stored.job = decodeDoneRow(*done);
                stored.ended = true;
                handler(stored);
                return;
            }
            const Row *row = result.find(jobRowKey(id));
            if (row == nullptr) {
                handler(failure(ErrorKind::NotFound, "no such job"));
                return;
            }
            const Row *cancel = result.find(cancelRowKey(id));
            const RowVersion cancelRowVersion = cancel == nullptr ? 0 : cancel->version;
            context->table->scan(blockRowPrefix(id), [row = *row, cancelRowVersion, handler](const ReadResult &blocks) {
                onBlocks(row, cancelRowVersion, blocks, handler);
            });
        });
}

std::shared_ptr<Job> decodeDoneRow(const Row &row)
{
    const nlohmann::json json = nlohmann::json::parse(row.value);
    std::map<int, Block> blocks;
    for (const auto &it : json.at("blocks").items()) {
        blocks[std::stoi(it.key())] = Block{0, blockFromJson(it.value())};
    }
    return makeJob(lastKeyPart(row.key), json.at("job").get<JobRecord>(), row.version, std::move(blocks));
}

std::shared_ptr<Job> decodeJobRow(const Row &row, std::map<int, Block> blocks)
{
    const JobRecord record = nlohmann::json::parse(row.value).get<JobRecord>();
    return makeJob(lastKeyPart(row.key), record, row.version, std::move(blocks));
}

TaskExplanation explainTask(const Job &job, int index)
{
    const TaskRecord *found = job.findTask(index);
    const TaskRecord task = found == nullptr ? TaskRecord() : *found;
    TaskExplanation result;
    result.task = taskId(job.id, index);
    result.state = task.state == TaskState::Pending && job.record.isClosed() ? job.record.rest : task.state;
    result.attempt = task.attempt;
    result.worker = task.worker;
    result.checkpoint = task.checkpoint;
    result.failures = task.failures;
    result.losses = task.losses;
    result.history = task.history;
    result.waitReason = waitReason(job, task, index);
    for (const auto &[node, reason] : job.refusals) {
        result.refusals.push_back({node, reason});
    }
    return result;
}

} // namespace fescueledge
