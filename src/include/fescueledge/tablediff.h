#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace fescueledge {

struct ControlState;

/// One difference between two control states.
struct TableChange
{
    enum class Kind {
        Added,
        Removed,
        Changed,
    };
    enum class Subject {
        Route,
        Pool,
        Team,
        DataCentre, ///< Added means taken out of service, Removed means returned to service.
    };
    Kind kind = Kind::Changed;
    Subject subject = Subject::Route;
    std::string name; ///< Name of the route, pool, team or data centre.
    std::string key; ///< Changed: the key that differs.
    std::string before; ///< Changed: the old value in the notation of the table; empty for none.
    std::string after; ///< Changed: the new value, likewise.

    /// One line for an operator.
    std::string toString() const;
};

/// The differences from @p before to @p after, ordered by subject, name and key. Comments and white space in the texts
/// are ignored.
std::vector<TableChange> diffTables(const ControlState &before, const ControlState &after);

void to_json(nlohmann::json &json, const TableChange &change);

} // namespace fescueledge
