#include "fescueledge/jobstatus.h"

#include <nlohmann/json.hpp>

namespace fescueledge {

int JobStatus::count(TaskState state) const
{
    return counts[static_cast<std::size_t>(state)];
}

std::string JobStatus::stateName() const
{
    if (!ended) {
        if (!cancelledBy.empty()) {
            return "cancelling";
        }
        return count(TaskState::Pending) == taskCount ? "pending" : "running";
    }
    for (const TaskState state : {TaskState::NeverRunnable, TaskState::Failed, TaskState::Cancelled}) {
        if (count(state) > 0) {
            return taskStateName(state);
        }
    }
    return taskStateName(TaskState::Finished);
}

void to_json(nlohmann::json &json, const JobStatus &status)
{
    nlohmann::json counts;
    for (int i = 0; i < taskStateCount; ++i) {
        counts[taskStateName(static_cast<TaskState>(i))] = status.counts[static_cast<std::size_t>(i)];
    }
    json = {{"job", status.job},
            {"customer", status.customer},
            {"team", status.team},
            {"name", status.name},
            {"class", taskClassName(status.taskClass)},
            {"task_count", status.taskCount},
            {"counts", counts},
            {"ended", status.ended},
            {"state", status.stateName()},
            {"cancelled_by", status.cancelledBy},
            {"detail", status.detail}};
}

void from_json(const nlohmann::json &json, JobStatus &status)
{
    json.at("job").get_to(status.job);
    json.at("customer").get_to(status.customer);
    json.at("team").get_to(status.team);
    json.at("name").get_to(status.name);
    status.taskClass = parseTaskClass(json.at("class").get<std::string>());
    json.at("task_count").get_to(status.taskCount);
    for (int i = 0; i < taskStateCount; ++i) {
        status.counts[static_cast<std::size_t>(i)] =
            json.at("counts").at(taskStateName(static_cast<TaskState>(i))).get<int>();
    }
    json.at("ended").get_to(status.ended);
    json.at("cancelled_by").get_to(status.cancelledBy);
    json.at("detail").get_to(status.detail);
}

void to_json(nlohmann::json &json, const JobFilter &filter)
{
    json = {{"customer", filter.customer}, {"team", filter.team}, {"ended", filter.ended}, {"limit", filter.limit}};
}

void from_json(const nlohmann::json &json, JobFilter &filter)
{
    const JobFilter defaults;
    filter.customer = json.value("customer", defaults.customer);
    filter.team = json.value("team", defaults.team);
    filter.ended = json.value("ended", defaults.ended);
    filter.limit = json.value("limit", defaults.limit);
}

void to_json(nlohmann::json &json, const AttemptRecord &record)
{
    json = {{"attempt", record.attempt}, {"worker", record.worker}, {"end", record.end}, {"detail", record.detail}};
}

void from_json(const nlohmann::json &json, AttemptRecord &record)
{
    json.at("attempt").get_to(record.attempt);
    json.at("worker").get_to(record.worker);
    json.at("end").get_to(record.end);
    json.at("detail").get_to(record.detail);
}

void to_json(nlohmann::json &json, const TaskExplanation &explanation)
{
    nlohmann::json refusals = nlohmann::json::array();
    for (const TaskExplanation::Refusal &refusal : explanation.refusals) {
        refusals.push_back({{"node", refusal.node}, {"reason", refusal.reason}});
    }
    json = {
        {"task", explanation.task},     {"state", explanation.state},           {"attempt", explanation.attempt},
        {"worker", explanation.worker}, {"checkpoint", explanation.checkpoint}, {"failures", explanation.failures},
        {"losses", explanation.losses}, {"history", explanation.history},       {"waits_for", explanation.waitReason},
        {"refusals", refusals}};
}

void from_json(const nlohmann::json &json, TaskExplanation &explanation)
{
    json.at("task").get_to(explanation.task);
    json.at("state").get_to(explanation.state);
    json.at("attempt").get_to(explanation.attempt);
    json.at("worker").get_to(explanation.worker);
    json.at("checkpoint").get_to(explanation.checkpoint);
    json.at("failures").get_to(explanation.failures);
    json.at("losses").get_to(explanation.losses);
    json.at("history").get_to(explanation.history);
    json.at("waits_for").get_to(explanation.waitReason);
    explanation.refusals.clear();
    for (const nlohmann::json &refusal : json.at("refusals")) {
        explanation.refusals.push_back({refusal.at("node").get<NodeId>(), refusal.at("reason").get<std::string>()});
    }
}

} // namespace fescueledge
