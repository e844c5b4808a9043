#include "jobrecord_pvt.h"

#include "fescueledge/authority.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace fescueledge {

namespace {

constexpr std::size_t maxHistoryLength = 4;
constexpr std::size_t maxDetailBytes = 200;

nlohmann::json taskToJson(const TaskRecord &task)
{
    if (task.state == TaskState::Pending && task.attempt == 0) {
        return nlohmann::json::array();
    }
    nlohmann::json history = nlohmann::json::array();
    for (const AttemptRecord &it : task.history) {
        history.push_back({it.attempt, it.worker, it.end, it.detail});
    }
    return nlohmann::json::array({static_cast<int>(task.state), task.attempt, task.worker, task.shard, task.epoch,
                                  task.shardRowVersion, task.checkpoint, task.failures, task.losses, history});
}

TaskRecord taskFromJson(const nlohmann::json &json)
{
    TaskRecord task;
    if (json.empty()) {
        return task;
    }
    task.state = static_cast<TaskState>(json.at(0).get<int>());
    json.at(1).get_to(task.attempt);
    json.at(2).get_to(task.worker);
    json.at(3).get_to(task.shard);
    json.at(4).get_to(task.epoch);
    json.at(5).get_to(task.shardRowVersion);
    json.at(6).get_to(task.checkpoint);
    json.at(7).get_to(task.failures);
    json.at(8).get_to(task.losses);
    for (const nlohmann::json &it : json.at(9)) {
        task.history.push_back({it.at(0).get<Attempt>(), it.at(1).get<WorkerId>(), it.at(2).get<std::string>(),
                                it.at(3).get<std::string>()});
    }
    return task;
}

} // namespace

void recordEnd(TaskRecord &task, const std::string &end, const std::string &detail)
{
    if (task.history.size() >= maxHistoryLength) {
        task.history.erase(task.history.begin());
    }
    task.history.push_back({task.attempt, task.worker, end, detail.substr(0, maxDetailBytes)});
}

nlohmann::json blockToJson(const std::vector<TaskRecord> &tasks)
{
    nlohmann::json json = nlohmann::json::array();
    for (const TaskRecord &task : tasks) {
        json.push_back(taskToJson(task));
    }
    return json;
}

std::vector<TaskRecord> blockFromJson(const nlohmann::json &json)
{
    std::vector<TaskRecord> tasks;
    tasks.reserve(json.size());
    for (const nlohmann::json &it : json) {
        tasks.push_back(taskFromJson(it));
    }
    return tasks;
}

std::string encodeBlock(const std::vector<TaskRecord> &tasks)
{
    return blockToJson(tasks).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::vector<TaskRecord> decodeBlock(const std::string &value)
{
    return blockFromJson(nlohmann::json::parse(value));
}

void to_json(nlohmann::json &json, const JobRecord &record)
{
    json = {{"spec", record.spec},
            {"order", record.order},
            {"cancelled_by", record.cancelledBy},
            {"rest", record.rest},
            {"detail", record.detail}};
}

void from_json(const nlohmann::json &json, JobRecord &record)
{
    json.at("spec").get_to(record.spec);
    json.at("order").get_to(record.order);
    json.at("cancelled_by").get_to(record.cancelledBy);
    json.at("rest").get_to(record.rest);
    json.at("detail").get_to(record.detail);
}

std::string partitionPrefix(const std::string &kind, int partition)
{
    char buf[16];
    std::snprintf(buf, sizeof(buf), "/%02d/", partition);
    return kind + buf;
}

std::string jobRowKey(const JobId &job)
{
    return partitionPrefix("job", partitionOfJob(job)) + job;
}

std::string doneRowKey(const JobId &job)
{
    return partitionPrefix("done", partitionOfJob(job)) + job;
}

std::string cancelRowKey(const JobId &job)
{
    return partitionPrefix("cancel", partitionOfJob(job)) + job;
}

std::string blockRowPrefix(const JobId &job)
{
    return partitionPrefix("block", partitionOfJob(job)) + job + "/";
}

std::string blockRowKey(const JobId &job, int block)
{
    char buf[16];
    std::snprintf(buf, sizeof(buf), "%04d", block);
    return blockRowPrefix(job) + buf;
}

std::string jobKeyRowKey(const std::string &customer, const std::string &key)
{
    return "jobkey/" + customer + "/" + key;
}

int indexOfTask(const TaskId &task)
{
    const std::size_t n = task.find('/');
    constexpr std::size_t maxDigits = 6;
    if (n == std::string::npos || n + 1 >= task.size() || task.size() - n - 1 > maxDigits) {
        return -1;
    }
    int index = 0;
    for (std::size_t i = n + 1; i < task.size(); ++i) {
        if (task[i] < '0' || task[i] > '9') {
            return -1;
        }
        index = index * 10 + (task[i] - '0');
    }
    return index;
}

TaskId taskId(const JobId &job, int index)
{
    return job + "/" + std::to_string(index);
}

int blockCount(int taskCount)
{
    return (taskCount + tasksPerBlock - 1) / tasksPerBlock;
}

int tasksInBlock(int taskCount, int block)
{
    return std::min(tasksPerBlock, taskCount - block * tasksPerBlock);
}

std::string lastKeyPart(const std::string &key)
{
    return key.substr(key.rfind('/') + 1);
}

} // namespace fescueledge
