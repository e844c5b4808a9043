#include "capacitynotice_pvt.h"

#include <nlohmann/json.hpp>

namespace fescueledge {

void to_json(nlohmann::json &json, const EndpointCapacityNotice &notice)
{
    json = {{"incarnation", notice.incarnation},
            {"sequence", notice.sequence},
            {"data_centre", notice.dataCentre},
            {"pools", nlohmann::json::object()}};
    for (const auto &it : notice.pools) {
        json["pools"][it.first] = {{"free_slots", it.second.freeSlots},
                                   {"total_slots", it.second.totalSlots},
                                   {"queued", it.second.queued},
                                   {"latency_ms", it.second.latencyMs}};
    }
}

void from_json(const nlohmann::json &json, EndpointCapacityNotice &notice)
{
    json.at("incarnation").get_to(notice.incarnation);
    json.at("sequence").get_to(notice.sequence);
    json.at("data_centre").get_to(notice.dataCentre);
    for (const auto &it : json.at("pools").items()) {
        PoolLoad &load = notice.pools[it.key()];
        it.value().at("free_slots").get_to(load.freeSlots);
        it.value().at("total_slots").get_to(load.totalSlots);
        it.value().at("queued").get_to(load.queued);
        it.value().at("latency_ms").get_to(load.latencyMs);
    }
}

} // namespace fescueledge
