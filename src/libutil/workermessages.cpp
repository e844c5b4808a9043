#include "fescueledge/workermessages.h"

#include <nlohmann/json.hpp>

namespace fescueledge {

NLOHMANN_JSON_SERIALIZE_ENUM(TaskCommand::Kind,
                             {{TaskCommand::Kind::Start, "start"},
                              {TaskCommand::Kind::Throttle, "throttle"},
                              {TaskCommand::Kind::Checkpoint, "checkpoint"},
                              {TaskCommand::Kind::Stop, "stop"},
                              {TaskCommand::Kind::Forget, "forget"}})

NLOHMANN_JSON_SERIALIZE_ENUM(TaskReport::State,
                             {{TaskReport::State::Running, "running"},
                              {TaskReport::State::Finished, "finished"},
                              {TaskReport::State::Failed, "failed"},
                              {TaskReport::State::Checkpointed, "checkpointed"},
                              {TaskReport::State::Stopped, "stopped"},
                              {TaskReport::State::Refused, "refused"}})

bool TaskReport::isTerminal() const
{
    return state != State::Running;
}

const char *taskReportStateName(TaskReport::State state)
{
    switch (state) {
    case TaskReport::State::Running:
        return "running";
    case TaskReport::State::Finished:
        return "finished";
    case TaskReport::State::Failed:
        return "failed";
    case TaskReport::State::Checkpointed:
        return "checkpointed";
    case TaskReport::State::Stopped:
        return "stopped";
    case TaskReport::State::Refused:
        return "refused";
    }
    return "running";
}

void to_json(nlohmann::json &json, const TaskCommand &command)
{
    json = {{"kind", command.kind},           {"task", command.task},       {"attempt", command.attempt},
            {"resources", command.resources}, {"payload", command.payload}, {"checkpoint", command.checkpoint},
            {"cpu_share", command.cpuShare},  {"label", command.label}};
}

void from_json(const nlohmann::json &json, TaskCommand &command)
{
    json.at("kind").get_to(command.kind);
    json.at("task").get_to(command.task);
    json.at("attempt").get_to(command.attempt);
    json.at("resources").get_to(command.resources);
    json.at("payload").get_to(command.payload);
    json.at("checkpoint").get_to(command.checkpoint);
    json.at("cpu_share").get_to(command.cpuShare);
    json.at("label").get_to(command.label);
}

void to_json(nlohmann::json &json, const TaskReport &report)
{
    json = {{"task", report.task}, {"attempt", report.attempt}, {"state", report.state}};
    if (report.used != Resources()) {
        json["used"] = report.used;
    }
    if (report.limit != Resources()) {
        json["limit"] = report.limit;
    }
    if (!report.checkpoint.empty()) {
        json["checkpoint"] = report.checkpoint;
    }
    if (!report.detail.empty()) {
        json["detail"] = report.detail;
    }
    if (!report.label.empty()) {
        json["label"] = report.label;
    }
}

void from_json(const nlohmann::json &json, TaskReport &report)
{
    json.at("task").get_to(report.task);
    json.at("attempt").get_to(report.attempt);
    json.at("state").get_to(report.state);
    report.used = json.value("used", Resources());
    report.limit = json.value("limit", Resources());
    report.checkpoint = json.value("checkpoint", std::string());
    report.detail = json.value("detail", std::string());
    report.label = json.value("label", std::string());
}

void to_json(nlohmann::json &json, const WorkerRequest &request)
{
    json = {{"owner", request.owner},
            {"epoch", request.epoch},
            {"lease_ms", request.lease.count()},
            {"start_before_ms", request.startBefore.count()},
            {"commands", request.commands}};
}

void from_json(const nlohmann::json &json, WorkerRequest &request)
{
    json.at("owner").get_to(request.owner);
    json.at("epoch").get_to(request.epoch);
    request.lease = Milliseconds(json.at("lease_ms").get<std::int64_t>());
    request.startBefore = Milliseconds(json.at("start_before_ms").get<std::int64_t>());
    json.at("commands").get_to(request.commands);
}

void to_json(nlohmann::json &json, const WorkerReply &reply)
{
    json = {{"fenced", reply.fenced},
            {"epoch", reply.epoch},
            {"clock_ms", reply.clock.count()},
            {"tasks", reply.tasks},
            {"requests_in_flight", reply.requestsInFlight},
            {"used", reply.used},
            {"service_p99_ms", reply.serviceP99.count()}};
}

void from_json(const nlohmann::json &json, WorkerReply &reply)
{
    json.at("fenced").get_to(reply.fenced);
    json.at("epoch").get_to(reply.epoch);
    reply.clock = Milliseconds(json.at("clock_ms").get<std::int64_t>());
    json.at("tasks").get_to(reply.tasks);
    json.at("requests_in_flight").get_to(reply.requestsInFlight);
    json.at("used").get_to(reply.used);
    reply.serviceP99 = Milliseconds(json.at("service_p99_ms").get<std::int64_t>());
}

} // namespace fescueledge
