#include "batchbuilder_pvt.h"

#include "fescueledge/authority.h"

#include "jobtable_pvt.h"

#include <nlohmann/json.hpp>

namespace fescueledge {

BatchBuilder::BatchBuilder(const JobTable *jobs, const std::string &shardRow, RowVersion version)
    : m_jobs(jobs)
{
    m_conditions[shardRow] = version;
}

void BatchBuilder::add(const Change &change)
{
    const Job &job = *m_jobs->find(change.job);
    // Without this condition a job that was archived could be claimed again through a block that no longer exists.
    m_conditions[jobRowKey(job.id)] = job.version;
    switch (change.kind) {
    case Change::Kind::Task:
        addTask(change, job);
        break;
    case Change::Kind::Close:
        addClose(change, job);
        break;
    case Change::Kind::Archive:
        addArchive(job);
        break;
    }
}

void BatchBuilder::addTask(const Change &change, const Job &job)
{
    const int block = change.index / tasksPerBlock;
    const Block &stored = job.blocks.at(block);
    const std::string key = blockRowKey(job.id, block);
    m_conditions[key] = stored.version;
    std::vector<TaskRecord> &tasks = m_blocks.emplace(key, stored.tasks).first->second;
    tasks[static_cast<std::size_t>(change.index % tasksPerBlock)] = change.next;
    if (change.isClaim()) {
        m_conditions[shardKey(change.next.shard)] = change.next.shardRowVersion;
    }
}

void BatchBuilder::addClose(const Change &change, const Job &job)
{
    m_puts[jobRowKey(job.id)] = nlohmann::json(change.closedRecord).dump();
    consumeCancelRow(job);
}

void BatchBuilder::consumeCancelRow(const Job &job)
{
    // An acknowledged cancellation that this node has not read yet makes the transaction fail, so it can't be lost.
    m_conditions[cancelRowKey(job.id)] = job.cancelRowVersion;
    if (job.cancelRowVersion != 0) {
        m_removals.push_back(cancelRowKey(job.id));
    }
}

void BatchBuilder::addArchive(const Job &job)
{
    nlohmann::json blocks = nlohmann::json::object();
    for (const auto &[number, block] : job.blocks) {
        if (block.version != 0) {
            const std::string key = blockRowKey(job.id, number);
            m_conditions[key] = block.version;
            m_removals.push_back(key);
            blocks[std::to_string(number)] = blockToJson(block.tasks);
        }
    }
    consumeCancelRow(job);
    const std::string done = doneRowKey(job.id);
    m_conditions[done] = 0;
    m_puts[done] = nlohmann::json({{"job", job.record}, {"blocks", blocks}}).dump();
    m_removals.push_back(jobRowKey(job.id));
}

Transaction BatchBuilder::build(const std::string &writeId)
{
    Transaction transaction;
    transaction.writeId = writeId;
    for (const auto &[key, version] : m_conditions) {
        transaction.conditions.push_back({key, version});
    }
    for (const auto &[key, tasks] : m_blocks) {
        transaction.puts.push_back({key, encodeBlock(tasks)});
    }
    for (const auto &[key, value] : m_puts) {
        transaction.puts.push_back({key, value});
    }
    transaction.removals = m_removals;
    return transaction;
}

} // namespace fescueledge
