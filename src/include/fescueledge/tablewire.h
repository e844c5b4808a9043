#pragma once

#include <nlohmann/json_fwd.hpp>

/// JSON formats of the table service's HTTP interface, shared by the adapter and the test double.
namespace fescueledge {

struct CommitResult;
struct ReadResult;
struct Row;
struct Transaction;

void to_json(nlohmann::json &json, const Row &row);
void from_json(const nlohmann::json &json, Row &row);
void to_json(nlohmann::json &json, const ReadResult &result);
void from_json(const nlohmann::json &json, ReadResult &result);
void to_json(nlohmann::json &json, const Transaction &transaction);
void from_json(const nlohmann::json &json, Transaction &transaction);
/// Only Committed and Conflict are sent; the other states result from failed exchanges.
void to_json(nlohmann::json &json, const CommitResult &result);
void from_json(const nlohmann::json &json, CommitResult &result);

} // namespace fescueledge
