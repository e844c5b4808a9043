#pragma once

#include "fescueledge/jobspec.h"
#include "fescueledge/jobstatus.h"
#include "fescueledge/types.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

/// The rows of the job queue: their keys and contents.
namespace fescueledge {

/// Tasks per block row.
constexpr int tasksPerBlock = 64;

/// Durable state of one task. The default is a task that was never claimed.
struct TaskRecord
{
    TaskState state = TaskState::Pending;
    Attempt attempt = 0; ///< The last attempt claimed.
    WorkerId worker; ///< Worker of that attempt.
    ShardId shard; ///< Rack shard of that worker.
    Epoch epoch = 0; ///< Epoch of the rack shard at the claim.
    RowVersion shardRowVersion = 0; ///< Version of the rack's shard row at the claim.
    std::string checkpoint;
    int failures = 0;
    int losses = 0;
    std::vector<AttemptRecord> history; ///< The last few attempts that ended.
};

/// Durable state of one job, without its blocks.
struct JobRecord
{
    JobSpec spec;
    std::uint64_t order = 0; ///< Position in the order of acceptance; 0 means the version of the row itself.
    std::string cancelledBy;
    TaskState rest = TaskState::Pending; ///< End state of the waiting tasks once the job is closed, Pending before.
    std::string detail; ///< Why it was closed.

    /// True once the job is closed: no further attempt may be claimed.
    bool isClosed() const
    {
        return rest != TaskState::Pending;
    }
};

/// Appends the end of the current attempt to the history, which keeps the last few.
void recordEnd(TaskRecord &task, const std::string &end, const std::string &detail);

std::string encodeBlock(const std::vector<TaskRecord> &tasks);
/// Throws nlohmann::json::exception if @p value is not a valid block.
std::vector<TaskRecord> decodeBlock(const std::string &value);
nlohmann::json blockToJson(const std::vector<TaskRecord> &tasks);
std::vector<TaskRecord> blockFromJson(const nlohmann::json &json);

void to_json(nlohmann::json &json, const JobRecord &record);
void from_json(const nlohmann::json &json, JobRecord &record);

/// Prefix of the rows of kind @p kind (`job`, `block`, `done`, `cancel`) in @p partition.
std::string partitionPrefix(const std::string &kind, int partition);
std::string jobRowKey(const JobId &job);
std::string doneRowKey(const JobId &job);
std::string cancelRowKey(const JobId &job);
/// Prefix of the keys of the block rows of @p job.
std::string blockRowPrefix(const JobId &job);
std::string blockRowKey(const JobId &job, int block);
std::string jobKeyRowKey(const std::string &customer, const std::string &key);

/// The index of @p task in its job, or -1.
int indexOfTask(const TaskId &task);
TaskId taskId(const JobId &job, int index);

/// Number of blocks of a job of @p taskCount tasks.
int blockCount(int taskCount);
/// Number of tasks in block @p block of a job of @p taskCount tasks.
int tasksInBlock(int taskCount, int block);
/// The part of a key after its last slash.
std::string lastKeyPart(const std::string &key);

} // namespace fescueledge
