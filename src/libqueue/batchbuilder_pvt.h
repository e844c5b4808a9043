#pragma once

#include "change_pvt.h"

#include "fescueledge/transaction.h"

#include <map>

namespace fescueledge {

class JobTable;
struct Job;

/// Builds one transaction from changes of one partition.
class BatchBuilder
{
public:
    /// Begins a transaction that is valid only while the shard row @p shardRow has @p version.
    BatchBuilder(const JobTable *jobs, const std::string &shardRow, RowVersion version);

    void add(const Change &change);
    /// Returns the transaction with write id @p writeId; the key of its first put is also one of its conditions.
    Transaction build(const std::string &writeId);

private:
    void addTask(const Change &change, const Job &job);
    void addClose(const Change &change, const Job &job);
    void addArchive(const Job &job);
    void consumeCancelRow(const Job &job);

    const JobTable *m_jobs;
    std::map<std::string, RowVersion> m_conditions;
    std::map<std::string, std::vector<TaskRecord>> m_blocks; ///< New contents of blocks, by row key.
    std::map<std::string, std::string> m_puts;
    std::vector<std::string> m_removals;
};

} // namespace fescueledge
