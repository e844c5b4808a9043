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
        DataCentre, ///< Added means taken out of service, Removed means brought back.
    };
    Kind kind = Kind::Changed;
    Subject subject = Subject::Route;
    std::string name; ///< Name of the route, pool, team or data centre.
    std::string key; ///< Changed: the key that differs.
    std::string before; ///< Changed: the value as a table would write it; empty for none.
    std::string after; ///< Changed: likewise.

    /// One line for an operator.
    std::string toString() const;
};

/// What differs from @p before to @p after, by subject, name and key. Comments and spaces in the texts don't count.
std::vector<TableChange> diffTables(const ControlState &before, const ControlState &after);

void to_json(nlohmann::json &json, const TableChange &change);

} // namespace fescueledge
