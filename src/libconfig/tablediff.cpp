#include "fescueledge/tablediff.h"

#include "fescueledge/controlstate.h"
#include "fescueledge/settingsschema.h"

#include <cmath>
#include <map>
#include <nlohmann/json.hpp>

namespace fescueledge {

namespace {

using Subject = TableChange::Subject;
using Kind = TableChange::Kind;

/// Values of one entity by key, formatted as in a table. Empty if unset.
using ValueTexts = std::map<std::string, std::string>;
using ValueTextsByName = std::map<std::string, ValueTexts>;

std::string joinItems(const std::vector<std::string> &items)
{
    std::string text;
    for (const std::string &item : items) {
        text += text.empty() ? item : ", " + item;
    }
    return text;
}

std::string durationText(Milliseconds time)
{
    return time.count() == 0 ? std::string() : numberText(ValueType::Duration, time.count());
}

ValueTexts routeTexts(const Route &route)
{
    return {
        {"host", route.host},
        {"path", route.pathPrefix},
        {"methods", joinItems(route.methods)},
        {"pool", route.pool},
        {"deadline", durationText(route.deadline)},
        {"idempotent", route.idempotent ? "yes" : "no"},
        {"max-attempts", std::to_string(route.maxAttempts)},
    };
}

ValueTexts poolTexts(const Pool &pool)
{
    return {
        {"workers", joinItems(pool.workers)},
        {"slots", std::to_string(pool.slots)},
        {"connections", std::to_string(pool.connections)},
        {"queue", std::to_string(pool.queue)},
        {"customer-limit", std::to_string(pool.customerLimit)},
        {"retry-budget", numberText(ValueType::Percent, std::lround(pool.retryBudget * 100))},
        {"reserve-cores", numberText(ValueType::Decimal, pool.serviceReserve.milliCores)},
        {"reserve-memory", numberText(ValueType::Size, pool.serviceReserve.memoryMb)},
        {"reserve-accelerators", std::to_string(pool.serviceReserve.accelerators)},
        {"batch-percent", numberText(ValueType::Percent, pool.batchPercent)},
        {"target-p99", durationText(pool.targetP99)},
    };
}

ValueTexts teamTexts(const TeamQuota &team)
{
    return {
        {"cores", numberText(ValueType::Decimal, team.limit.milliCores)},
        {"memory", numberText(ValueType::Size, team.limit.memoryMb)},
        {"accelerators", std::to_string(team.limit.accelerators)},
        {"weight", numberText(ValueType::Decimal, std::lround(team.weight * 1000))},
    };
}

ValueTextsByName entityTexts(const ControlState &control, Subject subject)
{
    ValueTextsByName texts;
    if (subject == Subject::Route) {
        for (const Route &route : control.routes) {
            texts[route.name] = routeTexts(route);
        }
    } else if (subject == Subject::Pool) {
        for (const Pool &pool : control.pools) {
            texts[pool.name] = poolTexts(pool);
        }
    } else if (subject == Subject::Team) {
        for (const TeamQuota &team : control.teams) {
            texts[team.team] = teamTexts(team);
        }
    } else {
        for (const DataCentreId &dataCentre : control.dataCentresOut) {
            texts[dataCentre] = {};
        }
    }
    return texts;
}

void diffKeys(Subject subject, const std::string &name, const ValueTexts &before, const ValueTexts &after,
              std::vector<TableChange> &changes)
{
    for (const std::pair<const std::string, std::string> &it : after) {
        const std::string &old = before.at(it.first);
        if (old != it.second) {
            changes.push_back({Kind::Changed, subject, name, it.first, old, it.second});
        }
    }
}

void diffSubject(Subject subject, const ValueTextsByName &before, const ValueTextsByName &after,
                 std::vector<TableChange> &changes)
{
    for (const std::pair<const std::string, ValueTexts> &it : before) {
        if (after.count(it.first) == 0) {
            changes.push_back({Kind::Removed, subject, it.first, "", "", ""});
        }
    }
    for (const std::pair<const std::string, ValueTexts> &it : after) {
        ValueTextsByName::const_iterator old = before.find(it.first);
        if (old == before.end()) {
            changes.push_back({Kind::Added, subject, it.first, "", "", ""});
        } else {
            diffKeys(subject, it.first, old->second, it.second, changes);
        }
    }
}

const char *kindName(Kind kind)
{
    switch (kind) {
    case Kind::Added:
        return "added";
    case Kind::Removed:
        return "removed";
    case Kind::Changed:
        return "changed";
    }
    return "changed";
}

const char *subjectName(Subject subject)
{
    switch (subject) {
    case Subject::Route:
        return "route";
    case Subject::Pool:
        return "pool";
    case Subject::Team:
        return "team";
    case Subject::DataCentre:
        return "data-centre";
    }
    return "route";
}

std::string orNone(const std::string &value)
{
    return value.empty() ? std::string("none") : value;
}

} // namespace

std::string TableChange::toString() const
{
    std::string what = std::string(subjectName(subject)) + " " + name;
    if (kind == Kind::Changed) {
        return "~ " + what + ": " + key + ": " + orNone(before) + " -> " + orNone(after);
    }
    if (subject == Subject::DataCentre) {
        what += kind == Kind::Added ? ": out" : ": in";
    }
    return (kind == Kind::Added ? "+ " : "- ") + what;
}

std::vector<TableChange> diffTables(const ControlState &before, const ControlState &after)
{
    std::vector<TableChange> changes;
    for (Subject subject : {Subject::Route, Subject::Pool, Subject::Team, Subject::DataCentre}) {
        diffSubject(subject, entityTexts(before, subject), entityTexts(after, subject), changes);
    }
    return changes;
}

void to_json(nlohmann::json &json, const TableChange &change)
{
    json = {{"kind", kindName(change.kind)}, {"subject", subjectName(change.subject)}, {"name", change.name}};
    if (change.kind == Kind::Changed) {
        json["key"] = change.key;
        json["before"] = change.before;
        json["after"] = change.after;
    }
}

} // namespace fescueledge
