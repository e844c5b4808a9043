#pragma once

#include <map>
#include <string>
#include <vector>

namespace fescueledge {

/// One option of the command line.
struct OptionSpec
{
    const char *name; ///< Without the hyphens.
    const char *valueName; ///< What stands for its value in the help; nullptr if it takes none.
    bool global; ///< True if every command takes it.
    const char *help;
};

/// All options, global ones first.
const std::vector<OptionSpec> &optionSpecs();
/// The option called @p name, or nullptr.
const OptionSpec *findOption(const std::string &name);

/// A command line, split but not yet checked against a command.
struct Arguments
{
    std::vector<std::string> words; ///< Command and operands.
    std::map<std::string, std::string> options; ///< By name; a repeated option's values are joined by commas.

    bool has(const std::string &option) const;
    /// The value of @p option or @p fallback.
    std::string value(const std::string &option, const std::string &fallback = std::string()) const;
};

/// Splits a command line with getopt_long; options may stand anywhere.
/// @throws CommandFailure with Usage. Not thread-safe.
Arguments parseArguments(int argc, char **argv);

} // namespace fescueledge
