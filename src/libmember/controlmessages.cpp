#include "controlmessages_pvt.h"

#include <nlohmann/json.hpp>

namespace fescueledge {

void to_json(nlohmann::json &json, const ApplyRequest &message)
{
    json = {{"row", message.rowValue}};
}

void from_json(const nlohmann::json &json, ApplyRequest &message)
{
    json.at("row").get_to(message.rowValue);
}

void to_json(nlohmann::json &json, const ApplyReply &message)
{
    json = {{"incarnation", message.incarnation}, {"version", message.version}};
}

void from_json(const nlohmann::json &json, ApplyReply &message)
{
    json.at("incarnation").get_to(message.incarnation);
    json.at("version").get_to(message.version);
}

void to_json(nlohmann::json &json, const FetchRequest &)
{
    json = nlohmann::json::object();
}

void from_json(const nlohmann::json &, FetchRequest &)
{
}

void to_json(nlohmann::json &json, const FetchReply &message)
{
    json = {{"row", message.rowValue}};
}

void from_json(const nlohmann::json &json, FetchReply &message)
{
    json.at("row").get_to(message.rowValue);
}

} // namespace fescueledge
