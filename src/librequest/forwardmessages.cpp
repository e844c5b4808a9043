#include "forwardmessages_pvt.h"

#include <cstring>
#include <nlohmann/json.hpp>

namespace fescueledge {

namespace {

nlohmann::json toBinary(const std::string &bytes)
{
    return nlohmann::json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string fromBinary(const nlohmann::json &json)
{
    const nlohmann::json::binary_t &bytes = json.get_binary();
    return std::string(bytes.begin(), bytes.end());
}

ErrorKind errorKindFromName(const std::string &name)
{
    for (int n = 0; n < static_cast<int>(ErrorKind::Internal); ++n) {
        if (name == errorKindName(static_cast<ErrorKind>(n))) {
            return static_cast<ErrorKind>(n);
        }
    }
    return ErrorKind::Internal;
}

RunOutcome runOutcomeFromName(const std::string &name)
{
    for (const RunOutcome outcome : {RunOutcome::NotRun, RunOutcome::Ran}) {
        if (name == runOutcomeName(outcome)) {
            return outcome;
        }
    }
    return RunOutcome::Unknown;
}

nlohmann::json requestToJson(const ServiceRequest &request)
{
    return {{"id", request.id},
            {"method", request.method},
            {"host", request.host},
            {"path", request.path},
            {"headers", request.headers},
            {"body", toBinary(request.body)},
            {"customer", request.customer},
            {"key", request.key}};
}

ServiceRequest requestFromJson(const nlohmann::json &json)
{
    ServiceRequest request;
    json.at("id").get_to(request.id);
    json.at("method").get_to(request.method);
    json.at("host").get_to(request.host);
    json.at("path").get_to(request.path);
    json.at("headers").get_to(request.headers);
    request.body = fromBinary(json.at("body"));
    json.at("customer").get_to(request.customer);
    json.at("key").get_to(request.key);
    return request;
}

} // namespace

void to_json(nlohmann::json &json, const ForwardRequest &request)
{
    json = {{"attempt_id", request.attemptId},
            {"request", requestToJson(request.request)},
            {"pool", request.pool},
            {"urgency", request.urgency},
            {"idempotent", request.idempotent},
            {"remaining_ms", request.remaining.count()},
            {"avoid", request.avoid}};
}

void from_json(const nlohmann::json &json, ForwardRequest &request)
{
    json.at("attempt_id").get_to(request.attemptId);
    request.request = requestFromJson(json.at("request"));
    json.at("pool").get_to(request.pool);
    json.at("urgency").get_to(request.urgency);
    json.at("idempotent").get_to(request.idempotent);
    request.remaining = Milliseconds(json.at("remaining_ms").get<std::int64_t>());
    json.at("avoid").get_to(request.avoid);
}

void to_json(nlohmann::json &json, const ForwardReply &reply)
{
    const DispatchResult &result = reply.result;
    json = {{"attempt_id", reply.attemptId},
            {"ok", result.ok},
            {"status", result.response.status},
            {"headers", result.response.headers},
            {"body", toBinary(result.response.body)},
            {"error", errorKindName(result.error)},
            {"message", result.message},
            {"outcome", runOutcomeName(result.outcome)},
            {"worker", result.worker}};
}

void from_json(const nlohmann::json &json, ForwardReply &reply)
{
    DispatchResult &result = reply.result;
    json.at("attempt_id").get_to(reply.attemptId);
    json.at("ok").get_to(result.ok);
    json.at("status").get_to(result.response.status);
    json.at("headers").get_to(result.response.headers);
    result.response.body = fromBinary(json.at("body"));
    result.error = errorKindFromName(json.at("error").get<std::string>());
    json.at("message").get_to(result.message);
    result.outcome = runOutcomeFromName(json.at("outcome").get<std::string>());
    json.at("worker").get_to(result.worker);
}

void to_json(nlohmann::json &json, const OrderStatusRequest &request)
{
    json = {{"row_key", request.rowKey}};
}

void from_json(const nlohmann::json &json, OrderStatusRequest &request)
{
    json.at("row_key").get_to(request.rowKey);
}

void to_json(nlohmann::json &json, const OrderStatusReply &reply)
{
    json = {{"incarnation", reply.incarnation}, {"active", reply.active}};
}

void from_json(const nlohmann::json &json, OrderStatusReply &reply)
{
    json.at("incarnation").get_to(reply.incarnation);
    json.at("active").get_to(reply.active);
}

} // namespace fescueledge
