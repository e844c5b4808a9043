#pragma once

#include "fescueledge/dispatchresult.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

/// Messages between daemons about requests. Request and response bodies are sent as binary values.
namespace fescueledge {

/// `forward`: asks an owner of the pool to run one attempt of a request. The owner never forwards it again.
struct ForwardRequest
{
    std::string attemptId; ///< Unique for each forward, so that a duplicate of the message is not run again.
    ServiceRequest request;
    std::string pool;
    int urgency = 0;
    bool idempotent = false;
    Milliseconds remaining{0}; ///< Time until the deadline.
    std::vector<WorkerId> avoid;
};

/// Answer to `forward`.
struct ForwardReply
{
    std::string attemptId; ///< The forward that it answers.
    DispatchResult result;
};

/// `order-status`: asks whether a keyed request is still being run by the node that recorded it.
struct OrderStatusRequest
{
    std::string rowKey;
};

/// Answer to `order-status`.
struct OrderStatusReply
{
    Incarnation incarnation = 0;
    bool active = false;
};

void to_json(nlohmann::json &json, const ForwardRequest &request);
void from_json(const nlohmann::json &json, ForwardRequest &request);
void to_json(nlohmann::json &json, const ForwardReply &reply);
void from_json(const nlohmann::json &json, ForwardReply &reply);
void to_json(nlohmann::json &json, const OrderStatusRequest &request);
void from_json(const nlohmann::json &json, OrderStatusRequest &request);
void to_json(nlohmann::json &json, const OrderStatusReply &reply);
void from_json(const nlohmann::json &json, OrderStatusReply &reply);

} // namespace fescueledge
