#include "fescueledge/jobspec.h"

#include "fescueledge/digest.h"
#include "fescueledge/error.h"

#include <nlohmann/json.hpp>

namespace fescueledge {

namespace {

constexpr int maxRetryLimit = 100;
constexpr std::size_t maxNameBytes = 256;

void require(bool condition, const char *message)
{
    if (!condition) {
        throw Error(ErrorKind::InvalidArgument, message);
    }
}

bool isName(const std::string &text)
{
    return !text.empty() && text.size() <= maxNameBytes && text.find('/') == std::string::npos;
}

bool isNonNegative(const Resources &resources)
{
    return resources.milliCores >= 0 && resources.memoryMb >= 0 && resources.accelerators >= 0;
}

std::size_t totalBytes(const std::vector<std::string> &payloads)
{
    std::size_t n = 0;
    for (const std::string &payload : payloads) {
        n += payload.size();
    }
    return n;
}

} // namespace

TaskClass parseTaskClass(const std::string &name)
{
    for (const TaskClass taskClass : {TaskClass::LatencyCritical, TaskClass::Batch}) {
        if (name == taskClassName(taskClass)) {
            return taskClass;
        }
    }
    throw Error(ErrorKind::InvalidArgument, "class must be latency-critical or batch");
}

void validateJobSpec(const JobSpec &spec)
{
    require(isName(spec.customer), "customer must have 1 to 256 characters without a slash");
    require(isName(spec.team), "team must have 1 to 256 characters without a slash");
    require(isName(spec.key), "key must have 1 to 256 characters without a slash");
    require(spec.name.size() <= maxNameBytes, "name is too long");
    require(spec.kind.size() <= maxNameBytes, "kind is too long");
    require(spec.pool.size() <= maxNameBytes, "pool is too long");
    require(isNonNegative(spec.resources), "resources must not be negative");
    require(spec.resources != Resources(), "resources must not be empty");
    require(spec.taskCount >= 1 && spec.taskCount <= maxTasksPerJob, "task_count is out of range");
    require(spec.maxAttempts >= 1 && spec.maxAttempts <= maxRetryLimit, "max_attempts is out of range");
    require(spec.maxLosses >= 1 && spec.maxLosses <= maxRetryLimit, "max_losses is out of range");
    const std::size_t payloads = spec.payloads.size();
    require(payloads <= 1 || payloads == static_cast<std::size_t>(spec.taskCount),
            "payloads must hold one for all tasks or one for each");
    require(totalBytes(spec.payloads) <= maxPayloadBytes, "payloads are too large");
}

std::string jobSpecDigest(const JobSpec &spec)
{
    return sha256Hex(nlohmann::json(spec).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void to_json(nlohmann::json &json, const JobSpec &spec)
{
    json = {{"customer", spec.customer},
            {"team", spec.team},
            {"key", spec.key},
            {"name", spec.name},
            {"kind", spec.kind},
            {"class", taskClassName(spec.taskClass)},
            {"pool", spec.pool},
            {"resources", spec.resources},
            {"payloads", spec.payloads},
            {"task_count", spec.taskCount},
            {"max_attempts", spec.maxAttempts},
            {"max_losses", spec.maxLosses}};
}

void from_json(const nlohmann::json &json, JobSpec &spec)
{
    const JobSpec defaults;
    json.at("customer").get_to(spec.customer);
    json.at("team").get_to(spec.team);
    json.at("key").get_to(spec.key);
    spec.name = json.value("name", spec.key);
    spec.kind = json.value("kind", spec.name);
    spec.taskClass = parseTaskClass(json.value("class", std::string(taskClassName(defaults.taskClass))));
    spec.pool = json.value("pool", std::string());
    json.at("resources").get_to(spec.resources);
    spec.payloads = json.value("payloads", std::vector<std::string>());
    spec.taskCount = json.value("task_count", defaults.taskCount);
    spec.maxAttempts = json.value("max_attempts", defaults.maxAttempts);
    spec.maxLosses = json.value("max_losses", defaults.maxLosses);
}

} // namespace fescueledge
