#include "fescueledge/tablewire.h"

#include "fescueledge/commitresult.h"
#include "fescueledge/readresult.h"
#include "fescueledge/transaction.h"

#include <nlohmann/json.hpp>

namespace fescueledge {

void to_json(nlohmann::json &json, const Row &row)
{
    json = {{"key", row.key}, {"value", row.value}, {"version", row.version}, {"write_id", row.writeId}};
}

void from_json(const nlohmann::json &json, Row &row)
{
    json.at("key").get_to(row.key);
    json.at("value").get_to(row.value);
    json.at("version").get_to(row.version);
    json.at("write_id").get_to(row.writeId);
}

void to_json(nlohmann::json &json, const ReadResult &result)
{
    json = {{"rows", result.rows}};
}

void from_json(const nlohmann::json &json, ReadResult &result)
{
    json.at("rows").get_to(result.rows);
    result.available = true;
}

void to_json(nlohmann::json &json, const Transaction &transaction)
{
    json = {{"write_id", transaction.writeId},
            {"conditions", nlohmann::json::array()},
            {"puts", nlohmann::json::array()},
            {"removals", transaction.removals}};
    for (const Transaction::Condition &condition : transaction.conditions) {
        json["conditions"].push_back({{"key", condition.key}, {"version", condition.version}});
    }
    for (const Transaction::Put &put : transaction.puts) {
        json["puts"].push_back({{"key", put.key}, {"value", put.value}});
    }
}

void from_json(const nlohmann::json &json, Transaction &transaction)
{
    json.at("write_id").get_to(transaction.writeId);
    json.at("removals").get_to(transaction.removals);
    for (const nlohmann::json &it : json.at("conditions")) {
        transaction.conditions.push_back({it.at("key").get<std::string>(), it.at("version").get<RowVersion>()});
    }
    for (const nlohmann::json &it : json.at("puts")) {
        transaction.puts.push_back({it.at("key").get<std::string>(), it.at("value").get<std::string>()});
    }
}

void to_json(nlohmann::json &json, const CommitResult &result)
{
    json = {{"committed", result.status == CommitStatus::Committed}, {"version", result.version}};
}

void from_json(const nlohmann::json &json, CommitResult &result)
{
    result.status = json.at("committed").get<bool>() ? CommitStatus::Committed : CommitStatus::Conflict;
    json.at("version").get_to(result.version);
}

} // namespace fescueledge
