#include "shardrow_pvt.h"

#include "fescueledge/row.h"

#include <nlohmann/json.hpp>

namespace fescueledge {

std::string encodeShardRow(const ShardRow &row)
{
    const nlohmann::json json = {
        {"owner", row.owner.node}, {"incarnation", row.owner.incarnation}, {"epoch", row.epoch}};
    return json.dump();
}

ShardRow decodeShardRow(const Row &row)
{
    const nlohmann::json json = nlohmann::json::parse(row.value);
    ShardRow result;
    json.at("owner").get_to(result.owner.node);
    json.at("incarnation").get_to(result.owner.incarnation);
    json.at("epoch").get_to(result.epoch);
    return result;
}

} // namespace fescueledge
