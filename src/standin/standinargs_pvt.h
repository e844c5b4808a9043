#pragma once

#include <map>
#include <string>

namespace fescueledge {

/// Parses `--name value` pairs. @p defaults lists the known names and their default values. Prints the usage and exits
/// with 2 on an unknown name.
std::map<std::string, std::string> parseStandInArgs(int argc, char **argv, std::map<std::string, std::string> defaults);

/// Returns the port of `ip:port`; exits with 2 if there is none.
int portOf(const std::string &address);
/// Returns the ip of `ip:port`.
std::string hostOf(const std::string &address);

} // namespace fescueledge
