#include "membermessages_pvt.h"

#include <nlohmann/json.hpp>

namespace fescueledge {

void to_json(nlohmann::json &json, const GrantRequest &message)
{
    json = {{"incarnation", message.incarnation},
            {"row_version", message.rowVersion},
            {"control_version", message.controlVersion},
            {"control_digest", message.controlDigest}};
}

void from_json(const nlohmann::json &json, GrantRequest &message)
{
    json.at("incarnation").get_to(message.incarnation);
    json.at("row_version").get_to(message.rowVersion);
    json.at("control_version").get_to(message.controlVersion);
    json.at("control_digest").get_to(message.controlDigest);
}

void to_json(nlohmann::json &json, const GrantReply &message)
{
    json = {{"granted", message.granted},
            {"incarnation", message.incarnation},
            {"control_version", message.controlVersion},
            {"control_digest", message.controlDigest}};
}

void from_json(const nlohmann::json &json, GrantReply &message)
{
    json.at("granted").get_to(message.granted);
    json.at("incarnation").get_to(message.incarnation);
    json.at("control_version").get_to(message.controlVersion);
    json.at("control_digest").get_to(message.controlDigest);
}

void to_json(nlohmann::json &json, const RefusalRequest &message)
{
    json = {{"holder", message.holder.node},
            {"holder_incarnation", message.holder.incarnation},
            {"row_version", message.rowVersion},
            {"grantor_incarnation", message.grantorIncarnation}};
}

void from_json(const nlohmann::json &json, RefusalRequest &message)
{
    json.at("holder").get_to(message.holder.node);
    json.at("holder_incarnation").get_to(message.holder.incarnation);
    json.at("row_version").get_to(message.rowVersion);
    json.at("grantor_incarnation").get_to(message.grantorIncarnation);
}

void to_json(nlohmann::json &json, const RefusalReply &message)
{
    json = {{"refused", message.refused}};
}

void from_json(const nlohmann::json &json, RefusalReply &message)
{
    json.at("refused").get_to(message.refused);
}

void to_json(nlohmann::json &json, const ShardHandedOver &message)
{
    json = {{"shard", message.shard}};
}

void from_json(const nlohmann::json &json, ShardHandedOver &message)
{
    json.at("shard").get_to(message.shard);
}

} // namespace fescueledge
