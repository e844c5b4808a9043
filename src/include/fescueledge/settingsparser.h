#pragma once

#include "fescueledge/daemonsettings.h"

#include <string>

namespace fescueledge {

/// Parses and checks the settings of a daemon. Reads no other file.
/// @param fileName the name for findings.
/// @throws SettingsError with everything that is wrong.
DaemonSettings parseSettings(const std::string &text, const std::string &fileName);

/// Reads the operators' token from the first line of @p path.
/// @throws Error with ErrorKind::InvalidSettings if it can't be read or is no valid token.
std::string readTokenFile(const std::string &path);

/// The operators' token from @p settings, from its file if it names one.
/// @throws Error with ErrorKind::InvalidSettings as readTokenFile does.
std::string operatorToken(const OperatorSettings &settings);

} // namespace fescueledge
