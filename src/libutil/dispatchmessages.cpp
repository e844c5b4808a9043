#include "fescueledge/dispatchmessages.h"

#include <nlohmann/json.hpp>

namespace fescueledge {

NLOHMANN_JSON_SERIALIZE_ENUM(TaskClass, {{TaskClass::LatencyCritical, "latency-critical"}, {TaskClass::Batch, "batch"}})

const char *taskClassName(TaskClass taskClass)
{
    return taskClass == TaskClass::LatencyCritical ? "latency-critical" : "batch";
}

void to_json(nlohmann::json &json, const TaskOffer &offer)
{
    json = {{"task", offer.task},       {"attempt", offer.attempt},
            {"class", offer.taskClass}, {"customer", offer.customer},
            {"team", offer.team},       {"kind", offer.kind},
            {"pool", offer.pool},       {"resources", offer.resources},
            {"payload", offer.payload}, {"checkpoint", offer.checkpoint},
            {"avoid", offer.avoid}};
}

void from_json(const nlohmann::json &json, TaskOffer &offer)
{
    json.at("task").get_to(offer.task);
    json.at("attempt").get_to(offer.attempt);
    json.at("class").get_to(offer.taskClass);
    json.at("customer").get_to(offer.customer);
    json.at("team").get_to(offer.team);
    json.at("kind").get_to(offer.kind);
    json.at("pool").get_to(offer.pool);
    json.at("resources").get_to(offer.resources);
    json.at("payload").get_to(offer.payload);
    json.at("checkpoint").get_to(offer.checkpoint);
    json.at("avoid").get_to(offer.avoid);
}

void to_json(nlohmann::json &json, const ReserveRequest &request)
{
    json = {{"offers", request.offers}};
}

void from_json(const nlohmann::json &json, ReserveRequest &request)
{
    json.at("offers").get_to(request.offers);
}

void to_json(nlohmann::json &json, const Reservation &reservation)
{
    json = {{"task", reservation.task},
            {"attempt", reservation.attempt},
            {"granted", reservation.granted},
            {"worker", reservation.worker},
            {"shard", reservation.shard},
            {"epoch", reservation.epoch},
            {"shard_row_version", reservation.shardRowVersion},
            {"reason", reservation.reason}};
}

void from_json(const nlohmann::json &json, Reservation &reservation)
{
    json.at("task").get_to(reservation.task);
    json.at("attempt").get_to(reservation.attempt);
    json.at("granted").get_to(reservation.granted);
    json.at("worker").get_to(reservation.worker);
    json.at("shard").get_to(reservation.shard);
    json.at("epoch").get_to(reservation.epoch);
    json.at("shard_row_version").get_to(reservation.shardRowVersion);
    json.at("reason").get_to(reservation.reason);
}

void to_json(nlohmann::json &json, const ReserveReply &reply)
{
    json = {{"reservations", reply.reservations}};
}

void from_json(const nlohmann::json &json, ReserveReply &reply)
{
    json.at("reservations").get_to(reply.reservations);
}

void to_json(nlohmann::json &json, const StartRequest &request)
{
    json = {{"claims", request.claims}};
}

void from_json(const nlohmann::json &json, StartRequest &request)
{
    json.at("claims").get_to(request.claims);
}

void to_json(nlohmann::json &json, const ControlRequest &request)
{
    json = {{"items", nlohmann::json::array()}};
    for (const ControlRequest::Item &item : request.items) {
        json["items"].push_back(
            {{"task", item.task}, {"attempt", item.attempt}, {"worker", item.worker}, {"checkpoint", item.checkpoint}});
    }
}

void from_json(const nlohmann::json &json, ControlRequest &request)
{
    for (const nlohmann::json &item : json.at("items")) {
        request.items.push_back({item.at("task").get<TaskId>(), item.at("attempt").get<Attempt>(),
                                 item.at("worker").get<WorkerId>(), item.at("checkpoint").get<bool>()});
    }
}

void to_json(nlohmann::json &json, const OutcomeReport &report)
{
    json = {{"items", nlohmann::json::array()}};
    for (const OutcomeReport::Item &item : report.items) {
        nlohmann::json out = {{"report", item.report}, {"worker", item.worker}, {"epoch", item.epoch}};
        if (item.workerLost) {
            out["worker_lost"] = true;
        }
        json["items"].push_back(out);
    }
}

void from_json(const nlohmann::json &json, OutcomeReport &report)
{
    for (const nlohmann::json &item : json.at("items")) {
        report.items.push_back({item.at("report").get<TaskReport>(), item.at("worker").get<WorkerId>(),
                                item.at("epoch").get<Epoch>(), item.value("worker_lost", false)});
    }
}

void to_json(nlohmann::json &json, const OutcomeReply &reply)
{
    json = {{"settled", nlohmann::json::array()}};
    for (const OutcomeReply::Item &item : reply.settled) {
        json["settled"].push_back({{"task", item.task}, {"attempt", item.attempt}, {"obsolete", item.obsolete}});
    }
}

void from_json(const nlohmann::json &json, OutcomeReply &reply)
{
    for (const nlohmann::json &item : json.at("settled")) {
        reply.settled.push_back(
            {item.at("task").get<TaskId>(), item.at("attempt").get<Attempt>(), item.at("obsolete").get<bool>()});
    }
}

void to_json(nlohmann::json &json, const CapacityNotice &notice)
{
    json = {{"items", nlohmann::json::array()}};
    for (const CapacityNotice::Item &item : notice.items) {
        json["items"].push_back({{"pool", item.pool},
                                 {"data_centre", item.dataCentre},
                                 {"free", item.free},
                                 {"largest", item.largest},
                                 {"largest_vm", item.largestVm}});
    }
}

void from_json(const nlohmann::json &json, CapacityNotice &notice)
{
    for (const nlohmann::json &item : json.at("items")) {
        notice.items.push_back({item.at("pool").get<std::string>(), item.at("data_centre").get<DataCentreId>(),
                                item.at("free").get<Resources>(), item.at("largest").get<Resources>(),
                                item.at("largest_vm").get<Resources>()});
    }
}

} // namespace fescueledge
