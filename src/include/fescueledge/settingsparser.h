#pragma once

#include "fescueledge/daemonsettings.h"

#include <string>

namespace fescueledge {

/// Parses and validates the settings of a daemon. Reads no other file.
/// @param fileName the file name that findings give.
/// @throws SettingsError with all problems found.
DaemonSettings parseSettings(const std::string &text, const std::string &fileName);

/// Reads the operators' token from the first line of @p path.
/// @throws Error with ErrorKind::InvalidSettings if it can't be read or is not a valid token.
std::string readTokenFile(const std::string &path);

/// The operators' token: the one in @p settings, or the one in the file that they name.
/// @throws Error with ErrorKind::InvalidSettings, as readTokenFile().
std::string operatorToken(const OperatorSettings &settings);

} // namespace fescueledge
