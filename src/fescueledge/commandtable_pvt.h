#pragma once

#include "commands_pvt.h"

#include <string>
#include <vector>

namespace fescueledge {

/// One command: its words, the member that runs it, what it takes and its help.
struct CommandEntry
{
    const char *name; ///< One or two words.
    ExitCode (Commands::*run)();
    const char *operands; ///< For the help.
    std::size_t minOperands;
    std::size_t maxOperands;
    std::vector<const char *> options; ///< Taken besides the global ones.
    const char *help;
};

/// All commands, in the order of the help.
const std::vector<CommandEntry> &commandTable();

/// The command at the start of @p words, or nullptr.
const CommandEntry *findCommand(const std::vector<std::string> &words);

/// Help on every command whose words start with @p words; on all if it is empty or matches none.
std::string helpText(const std::vector<std::string> &words);

} // namespace fescueledge
