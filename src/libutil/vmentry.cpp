#include "fescueledge/vmentry.h"

#include <nlohmann/json.hpp>

namespace fescueledge {

NLOHMANN_JSON_SERIALIZE_ENUM(VmEntry::Kind, {{VmEntry::Kind::Entry, "entry"}, {VmEntry::Kind::Worker, "worker"}})
NLOHMANN_JSON_SERIALIZE_ENUM(VmEntry::State, {{VmEntry::State::Live, "live"}, {VmEntry::State::Leaving, "leaving"}})

void to_json(nlohmann::json &json, const VmEntry &entry)
{
    json = {{"name", entry.name},
            {"kind", entry.kind},
            {"state", entry.state},
            {"data_centre", entry.dataCentre},
            {"rack", entry.rack},
            {"address", entry.address},
            {"endpoint_address", entry.endpointAddress},
            {"capacity", entry.capacity}};
}

void from_json(const nlohmann::json &json, VmEntry &entry)
{
    json.at("name").get_to(entry.name);
    json.at("kind").get_to(entry.kind);
    json.at("state").get_to(entry.state);
    json.at("data_centre").get_to(entry.dataCentre);
    json.at("rack").get_to(entry.rack);
    json.at("address").get_to(entry.address);
    json.at("endpoint_address").get_to(entry.endpointAddress);
    json.at("capacity").get_to(entry.capacity);
}

} // namespace fescueledge
