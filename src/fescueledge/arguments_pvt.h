#pragma once

#include <map>
#include <string>
#include <vector>

namespace fescueledge {

/// One option of the command line.
struct OptionSpec
{
    const char *name; ///< Without the hyphens.
    const char *valueName; ///< Placeholder of its value in the help; nullptr if it takes none.
    bool global; ///< True if every command accepts it.
    const char *help;
};

/// All options, global ones first.
const std::vector<OptionSpec> &optionSpecs();
/// The option called @p name, or nullptr.
const OptionSpec *findOption(const std::string &name);

/// A parsed command line, not yet validated against a command.
struct Arguments
{
    std::vector<std::string> words; ///< Command and operands.
    std::map<std::string, std::string> options; ///< By name; values of a repeated --node are joined with commas.

    bool has(const std::string &option) const;
    /// The value of @p option, or @p fallback if it was not given.
    std::string value(const std::string &option, const std::string &fallback = std::string()) const;
};

/// Parses a command line with getopt_long; options and operands may be mixed.
/// @throws CommandFailure with Usage. Not thread-safe.
Arguments parseArguments(int argc, char **argv);

} // namespace fescueledge
