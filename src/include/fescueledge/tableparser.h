#pragma once

#include "fescueledge/controlstate.h"

#include <string>

namespace fescueledge {

/// File names of the two tables in findings.
struct TableFileNames
{
    std::string routes = "routes.ini";
    std::string pools = "pools.ini";
};

/// Parses and validates the table of routes and the table of pools together. The result has both texts byte for byte,
/// version 0 and no data centre out of service. Routes are in matching order: longer paths first, then those with a
/// host, then those with methods.
/// @throws SettingsError with all problems found in both.
ControlState parseTables(const std::string &routesText, const std::string &poolsText,
                         const TableFileNames &names = TableFileNames());

/// The digest that an operator reviews: SHA-256 in hexadecimal of the routes, a line `--` and the pools.
std::string tablesDigest(const std::string &routesText, const std::string &poolsText);

} // namespace fescueledge
