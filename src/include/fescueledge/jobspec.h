#pragma once

#include "fescueledge/dispatchmessages.h"
#include "fescueledge/resources.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace fescueledge {

/// A job as submitted by a caller: one or more tasks of the same kind.
///
/// The members `name`, `kind`, `payloads`, `task_count`, `class`, `pool`, `max_attempts` and `max_losses` are optional
/// in JSON.
struct JobSpec
{
    std::string customer;
    std::string team;
    std::string key; ///< Idempotency key, unique per customer.
    std::string name; ///< For people.
    std::string kind; ///< Caller's name for this sort of work; empty means the same as the name.
    TaskClass taskClass = TaskClass::Batch;
    std::string pool; ///< Pool to run in; empty for any.
    Resources resources; ///< Declared need of each task.
    std::vector<std::string> payloads; ///< Either one for all tasks, or one for each task.
    int taskCount = 1;
    int maxAttempts = 3; ///< Failed attempts after which a task fails.
    int maxLosses = 5; ///< Attempts lost with their worker after which a task fails.
};

/// Maximum number of tasks in a job.
constexpr int maxTasksPerJob = 16384;
/// Maximum total size of the payloads of a job, in bytes.
constexpr std::size_t maxPayloadBytes = 1024 * 1024;

/// The class named @p name; throws Error(InvalidArgument) if there is none.
TaskClass parseTaskClass(const std::string &name);
/// Throws Error(InvalidArgument) that names the invalid member unless @p spec is valid.
void validateJobSpec(const JobSpec &spec);
/// Digest of @p spec: requests with the same idempotency key are the same request if their digests are equal.
std::string jobSpecDigest(const JobSpec &spec);

void to_json(nlohmann::json &json, const JobSpec &spec);
/// Throws nlohmann::json::exception if a member is missing or of another type, Error if the class is unknown.
void from_json(const nlohmann::json &json, JobSpec &spec);

} // namespace fescueledge
