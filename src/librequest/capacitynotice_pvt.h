#pragma once

#include "localattempt_pvt.h"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace fescueledge {

/// `endpoint-capacity`: the load on the endpoints that a node owns. It lags behind the actual load.
struct EndpointCapacityNotice
{
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0; ///< Increases with each notice of one incarnation.
    DataCentreId dataCentre; ///< Data centre of the node; empty if not set.
    std::map<std::string, PoolLoad> pools;
};

void to_json(nlohmann::json &json, const EndpointCapacityNotice &notice);
void from_json(const nlohmann::json &json, EndpointCapacityNotice &notice);

} // namespace fescueledge
