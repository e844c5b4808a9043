#pragma once

#include "fescueledge/jobspec.h"
#include "fescueledge/taskstate.h"
#include "fescueledge/types.h"

#include <array>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace fescueledge {

/// What is known of one job.
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
    std::string cancelledBy; ///< Who asked for the cancellation; empty if nobody did.
    std::string detail; ///< Why it ended as it did, or why it waits.

    int count(TaskState state) const;
    /// `pending`, `running`, `cancelling`, `finished`, `failed`, `cancelled` or `never-runnable`.
    std::string stateName() const;
};

/// Which jobs a list shows. Empty members match everything.
struct JobFilter
{
    std::string customer;
    std::string team;
    bool ended = false; ///< Also jobs that ended.
    int limit = 1000; ///< Jobs shown at most.
};

/// One attempt that is over.
struct AttemptRecord
{
    Attempt attempt = 0;
    WorkerId worker;
    std::string end; ///< How it ended: `failed`, `checkpointed`, `lost`, `stopped` or `refused`.
    std::string detail;
};

/// Why a task waits, or what became of it.
struct TaskExplanation
{
    /// The last answer of one node that was asked for room.
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
    std::vector<AttemptRecord> history; ///< The last attempts that are over, oldest first.
    std::string waitsFor; ///< What a pending task waits for: order, quota, room, backoff.
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
