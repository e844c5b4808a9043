#include "operatorjson_pvt.h"

#include "fescueledge/controlchange.h"
#include "fescueledge/decisionrecord.h"
#include "fescueledge/placementdecision.h"
#include "fescueledge/workerstatus.h"

#include <array>
#include <cstdio>
#include <ctime>

namespace fescueledge {

nlohmann::json toJson(const ControlContent &content)
{
    return {{"routes", content.routesText},
            {"pools", content.poolsText},
            {"data_centres_out", content.dataCentresOut},
            {"digest", content.digest()}};
}

nlohmann::json toJson(const ControlHistoryEntry &entry)
{
    const bool dataCentresChanged = entry.before.dataCentresOut != entry.after.dataCentresOut;
    return {{"version", entry.version},       {"change_id", entry.origin.changeId},
            {"who", entry.origin.who},        {"why", entry.origin.why},
            {"when", rfc3339(entry.when)},    {"kind", dataCentresChanged ? "data-centre" : "config"},
            {"before", toJson(entry.before)}, {"after", toJson(entry.after)}};
}

nlohmann::json toJson(const WorkerStatus &status)
{
    return {{"worker", status.worker},
            {"shard", status.shard},
            {"epoch", status.epoch},
            {"pool", status.pool},
            {"data_centre", status.dataCentre},
            {"adopted", status.adopted},
            {"leaving", status.leaving},
            {"quarantined", status.quarantined},
            {"capacity", status.capacity},
            {"committed", status.committed},
            {"used", status.used},
            {"service_p99_ms", status.serviceP99.count()},
            {"attempts", status.attempts},
            {"throttled", status.throttled},
            {"inherited_requests", status.inheritedRequests}};
}

nlohmann::json toJson(const PlacementDecision &decision)
{
    nlohmann::json candidates = nlohmann::json::array();
    for (const PlacementDecision::Candidate &candidate : decision.candidates) {
        candidates.push_back({{"worker", candidate.worker},
                              {"ruled_out", exclusionReasonName(candidate.exclusionReason)},
                              {"cost", candidate.cost}});
    }
    return {{"task", decision.task},       {"attempt", decision.attempt}, {"strategy", decision.strategy},
            {"measure", decision.measure}, {"chosen", decision.chosen},   {"candidates", candidates}};
}

nlohmann::json toJson(const DecisionRecord &record)
{
    nlohmann::json steps = nlohmann::json::array();
    for (const DecisionStep &step : record.steps) {
        nlohmann::json candidates = nlohmann::json::array();
        for (const DecisionCandidate &candidate : step.candidates) {
            candidates.push_back(
                {{"name", candidate.name}, {"cost", candidate.cost}, {"ruled_out", candidate.exclusionReason}});
        }
        steps.push_back(
            {{"kind", step.kind}, {"measure", step.measure}, {"chosen", step.chosen}, {"candidates", candidates}});
    }
    return {{"request", record.requestId}, {"route", record.route}, {"pool", record.pool}, {"steps", steps}};
}

std::string rfc3339(std::chrono::system_clock::time_point when)
{
    const std::time_t seconds = std::chrono::system_clock::to_time_t(when);
    const std::chrono::milliseconds sinceEpoch =
        std::chrono::duration_cast<std::chrono::milliseconds>(when.time_since_epoch());
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    std::array<char, 32> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &utc);
    std::array<char, 48> buf{};
    std::snprintf(buf.data(), buf.size(), "%s.%03dZ", date.data(), static_cast<int>(sinceEpoch.count() % 1000));
    return buf.data();
}

} // namespace fescueledge
