#pragma once

#include "commands_pvt.h"

#include <string>
#include <vector>

namespace fescueledge {

/// One command: its name, the member function that runs it, its operands and options, and its help.
struct CommandEntry
{
    const char *name; ///< One or two words.
    ExitCode (Commands::*run)();
    const char *operands; ///< As shown in the help.
    std::size_t minOperands;
    std::size_t maxOperands;
    std::vector<const char *> options; ///< Accepted in addition to the global ones.
    const char *help;
};

/// All commands, in the order of the help.
const std::vector<CommandEntry> &commandTable();

/// The command whose name @p words start with, or nullptr.
const CommandEntry *findCommand(const std::vector<std::string> &words);

/// Help on every command whose name starts with @p words or is the start of them; on all commands if there is none or
/// @p words is empty.
std::string helpText(const std::vector<std::string> &words);

} // namespace fescueledge
