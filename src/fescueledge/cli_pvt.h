#pragma once

#include "exitcode_pvt.h"

namespace fescueledge {

struct CliEnvironment;

/// Runs one command line. Reports every failure as an exit code and a message on standard error.
ExitCode runCli(int argc, char **argv, CliEnvironment &environment);

} // namespace fescueledge
