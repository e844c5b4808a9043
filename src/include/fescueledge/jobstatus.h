#pragma once

#include "fescueledge/jobspec.h"
#include "fescueledge/taskstate.h"
#include "fescueledge/types.h"

#include <array>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace fescueledge {

/// The status of one job.
struct JobStatus
{
    JobId job;
    std::string customer;
    std::string team;
    std::string name;
    TaskClass taskClass = TaskClass::Batch;
    int taskCount = 0;
    std::array<int, taskStateCount> counts{}; ///< Tasks in each state, by TaskState.
    bool ended = false; ///< Every task is in a terminal state.
    std::string cancelledBy; ///< Name of the user who cancelled the job; empty if it was not cancelled.
    std::string detail; ///< Why it ended in its state, or why it waits.

    int count(TaskState state) const;
    /// `pending`, `running`, `cancelling`, `finished`, `failed`, `cancelled` or `never-runnable`.
    std::string stateName() const;
};

/// Selects the jobs of a list. Empty members match everything.
struct JobFilter
{
    std::string customer;
    std::string team;
    bool ended = false; ///< Include jobs that have ended.
    int limit = 1000; ///< Maximum number of jobs returned.
};

/// One attempt that has ended.
struct AttemptRecord
{
    Attempt attempt = 0;
    WorkerId worker;
    std::string end; ///< How it ended: `failed`, `checkpointed`, `lost`, `stopped` or `refused`.
    std::string detail;
};

/// Why a task waits, or how it ended.
struct TaskExplanation
{
    /// The last refusal by one node that was asked to reserve capacity.
    struct Refusal
    {
        NodeId node;
        std::string reason;
    };

    TaskId task;
    TaskState state = TaskState::Pending;
    Attempt attempt = 0; ///< The last attempt; 0 if there was none.
    WorkerId worker; ///< Worker of that attempt.
    std::string checkpoint; ///< State from which the next attempt resumes.
    int failures = 0;
    int losses = 0;
    std::vector<AttemptRecord> history; ///< The last ended attempts, oldest first.
    std::string waitReason; ///< What a pending task waits for: order, quota, capacity or backoff.
    std::vector<Refusal> refusals; ///< Per node, for the job of the task.
};

void to_json(nlohmann::json &json, const JobStatus &status);
void from_json(const nlohmann::json &json, JobStatus &status);
void to_json(nlohmann::json &json, const JobFilter &filter);
void from_json(const nlohmann::json &json, JobFilter &filter);
void to_json(nlohmann::json &json, const AttemptRecord &record);
void from_json(const nlohmann::json &json, AttemptRecord &record);
void to_json(nlohmann::json &json, const TaskExplanation &explanation);
void from_json(const nlohmann::json &json, TaskExplanation &explanation);

} // namespace fescueledge
