#pragma once

#include "exitcode_pvt.h"

namespace fescueledge {

struct CliEnvironment;

/// Runs one command line. All failures end here, as an exit code and a line on standard error.
ExitCode runCli(int argc, char **argv, CliEnvironment &environment);

} // namespace fescueledge
