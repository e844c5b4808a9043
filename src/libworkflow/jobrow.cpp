#include "jobrow_pvt.h"

#include <nlohmann/json.hpp>

namespace fescueledge::workflow {

using nlohmann::json;

std::string encodeJobRow(const JobRow &row)
{
    json out{{"spec", row.spec},
             {"queue", row.policy.name},
             {"service", row.policy.service},
             {"priority", row.policy.priority},
             {"attempts", row.policy.maxAttempts},
             {"slack", row.policy.slackFactor},
             {"target", row.policy.target.count()},
             {"accepted", row.acceptedAt.time_since_epoch().count()}};
    if (!row.account.empty()) {
        out["account"] = row.account;
    }
    const std::vector<std::uint8_t> bytes = json::to_cbor(out);
    return std::string(bytes.begin(), bytes.end());
}

JobRow decodeJobRow(const std::string &value)
{
    const json in = json::from_cbor(value);
    JobRow row;
    row.spec = in.at("spec").get<WorkflowSpec>();
    row.policy.name = in.at("queue").get<std::string>();
    row.policy.service = in.at("service").get<std::string>();
    row.policy.priority = in.at("priority").get<int>();
    row.policy.maxAttempts = in.at("attempts").get<std::uint32_t>();
    row.policy.slackFactor = in.at("slack").get<double>();
    row.policy.target = Milliseconds(in.at("target").get<std::int64_t>());
    row.acceptedAt = WallTime(Milliseconds(in.at("accepted").get<std::int64_t>()));
    row.account = in.value("account", std::string());
    return row;
}

} // namespace fescueledge::workflow
