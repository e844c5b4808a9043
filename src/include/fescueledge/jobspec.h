#pragma once

#include "fescueledge/dispatchmessages.h"
#include "fescueledge/resources.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace fescueledge {

/// What a caller wants done: one or more like tasks.
///
/// The members `name`, `kind`, `payloads`, `task_count`, `class`, `pool`, `max_attempts` and `max_losses` may be left
/// out in JSON.
struct JobSpec
{
    std::string customer;
    std::string team;
    std::string key; ///< Idempotency key, unique for the customer.
    std::string name; ///< For people.
    std::string kind; ///< Caller's name for this sort of work; empty means the same as the name.
    TaskClass taskClass = TaskClass::Batch;
    std::string pool; ///< Pool to run in; empty for any.
    Resources resources; ///< Declared need of each task.
    std::vector<std::string> payloads; ///< One for all tasks, or one for each.
    int taskCount = 1;
    int maxAttempts = 3; ///< Attempts of one task that may fail.
    int maxLosses = 5; ///< Attempts of one task that may be lost with their worker.
};

/// Tasks in a job at most.
constexpr int maxTasksPerJob = 16384;
/// Bytes of all payloads of a job at most.
constexpr std::size_t maxPayloadBytes = 1024 * 1024;

/// The class named @p name; throws Error(InvalidArgument) if there is none.
TaskClass parseTaskClass(const std::string &name);
/// Throws Error(InvalidArgument) that names the member unless @p spec can be accepted.
void validateJobSpec(const JobSpec &spec);
/// Digest of @p spec: two requests with one idempotency key are the same request if it is equal.
std::string jobSpecDigest(const JobSpec &spec);

void to_json(nlohmann::json &json, const JobSpec &spec);
/// Throws nlohmann::json::exception if a member is missing or of another type, Error if the class is unknown.
void from_json(const nlohmann::json &json, JobSpec &spec);

} // namespace fescueledge
