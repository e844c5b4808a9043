#include "controlcodec_pvt.h"

#include "fescueledge/controlparser.h"
#include "fescueledge/controlstate.h"
#include "fescueledge/digest.h"
#include "fescueledge/error.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <tuple>

namespace fescueledge {

namespace {

using SystemTime = std::chrono::system_clock::time_point;

nlohmann::json contentToJson(const ControlContent &content)
{
    return {{"routes", content.routesText}, {"pools", content.poolsText}, {"out", content.dataCentresOut}};
}

ControlContent contentFromJson(const nlohmann::json &json)
{
    ControlContent content;
    json.at("routes").get_to(content.routesText);
    json.at("pools").get_to(content.poolsText);
    json.at("out").get_to(content.dataCentresOut);
    return content;
}

} // namespace

std::string ControlContent::digest() const
{
    // Length prefixes keep the boundaries between the texts unambiguous.
    std::string bytes = std::to_string(routesText.size()) + ":" + routesText;
    bytes += std::to_string(poolsText.size()) + ":" + poolsText;
    for (const DataCentreId &dataCentre : dataCentresOut) {
        bytes += std::to_string(dataCentre.size()) + ":" + dataCentre;
    }
    return sha256Hex(bytes);
}

bool ControlContent::operator==(const ControlContent &other) const
{
    return std::tie(routesText, poolsText, dataCentresOut)
        == std::tie(other.routesText, other.poolsText, other.dataCentresOut);
}

std::string historyKey(ControlVersion version)
{
    char buf[48];
    std::snprintf(buf, sizeof(buf), "control/history/%012llu", static_cast<unsigned long long>(version));
    return buf;
}

std::string encodeControlRow(const ControlRow &row)
{
    const nlohmann::json json = {
        {"version", row.version}, {"content", contentToJson(row.content)}, {"digest", row.content.digest()}};
    return json.dump();
}

ControlRow decodeControlRow(const std::string &value)
{
    const nlohmann::json json = nlohmann::json::parse(value);
    ControlRow row;
    json.at("version").get_to(row.version);
    row.content = contentFromJson(json.at("content"));
    if (row.content.digest() != json.at("digest").get<std::string>()) {
        throw Error(ErrorKind::DigestMismatch, "control version " + std::to_string(row.version));
    }
    return row;
}

std::string encodeHistoryEntry(const ControlHistoryEntry &entry)
{
    const auto when = std::chrono::duration_cast<Milliseconds>(entry.when.time_since_epoch());
    const nlohmann::json json = {{"version", entry.version},
                                 {"change_id", entry.origin.changeId},
                                 {"who", entry.origin.who},
                                 {"why", entry.origin.why},
                                 {"when_ms", when.count()},
                                 {"before", contentToJson(entry.before)},
                                 {"after", contentToJson(entry.after)}};
    return json.dump();
}

ControlHistoryEntry decodeHistoryEntry(const std::string &value)
{
    const nlohmann::json json = nlohmann::json::parse(value);
    ControlHistoryEntry entry;
    json.at("version").get_to(entry.version);
    json.at("change_id").get_to(entry.origin.changeId);
    json.at("who").get_to(entry.origin.who);
    json.at("why").get_to(entry.origin.why);
    entry.when = SystemTime(Milliseconds(json.at("when_ms").get<std::int64_t>()));
    entry.before = contentFromJson(json.at("before"));
    entry.after = contentFromJson(json.at("after"));
    return entry;
}

std::shared_ptr<const ControlState> parseControl(const ControlParser &parser, const ControlRow &row)
{
    auto state = std::make_shared<ControlState>();
    state->version = row.version;
    state->routesText = row.content.routesText;
    state->poolsText = row.content.poolsText;
    state->dataCentresOut = row.content.dataCentresOut;
    if (row.version != 0) {
        parser.parse(state.get());
    }
    return state;
}

} // namespace fescueledge
