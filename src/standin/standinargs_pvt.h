#pragma once

#include <map>
#include <string>

namespace fescueledge {

/// Reads `--name value` pairs. Prints the usage and exits with 2 when a name is not among @p defaults, which also
/// give the values of options left out.
std::map<std::string, std::string> parseStandInArgs(int argc, char **argv, std::map<std::string, std::string> defaults);

/// The port of `ip:port`; exits with 2 if there is none.
int portOf(const std::string &address);
/// The ip of `ip:port`.
std::string hostOf(const std::string &address);

} // namespace fescueledge
