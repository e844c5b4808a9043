#include "cli_pvt.h"

#include "commandtable_pvt.h"

#include "fescueledge/settingserror.h"

#include <algorithm>
#include <ostream>
#include <sstream>

namespace fescueledge {

namespace {

/// Validates the options and the number of operands, and removes the command name from @p arguments.
void checkArguments(const CommandEntry &entry, Arguments &arguments)
{
    for (const std::pair<const std::string, std::string> &it : arguments.options) {
        bool isAccepted = findOption(it.first)->global
            || std::any_of(entry.options.begin(), entry.options.end(), [&](const char *option) {
                              return it.first == option;
                          });
        if (!isAccepted) {
            throw CommandFailure(ExitCode::Usage, std::string(entry.name) + " takes no --" + it.first);
        }
    }
    std::string name(entry.name);
    std::size_t nameWords = 1 + static_cast<std::size_t>(std::count(name.begin(), name.end(), ' '));
    arguments.words.erase(arguments.words.begin(), arguments.words.begin() + static_cast<std::ptrdiff_t>(nameWords));
    std::size_t n = arguments.words.size();
    if (n < entry.minOperands || n > entry.maxOperands) {
        throw CommandFailure(ExitCode::Usage, "usage: fescueledge " + name + " " + entry.operands);
    }
}

ExitCode runCommand(int argc, char **argv, CliEnvironment &environment)
{
    Arguments arguments = parseArguments(argc, argv);
    if (arguments.has("version")) {
        environment.out << "fescueledge " << FESCUELEDGE_VERSION << '\n';
        return ExitCode::Ok;
    }
    if (arguments.has("help")) {
        environment.out << helpText(arguments.words);
        return ExitCode::Ok;
    }
    const CommandEntry *entry = findCommand(arguments.words);
    if (entry == nullptr) {
        throw CommandFailure(ExitCode::Usage,
                             arguments.words.empty() ? "no command is given; see fescueledge --help"
                                                     : "unknown command; see fescueledge --help");
    }
    checkArguments(*entry, arguments);
    Commands commands(environment, arguments);
    return (commands.*entry->run)();
}

} // namespace

ExitCode runCli(int argc, char **argv, CliEnvironment &environment)
{
    try {
        return runCommand(argc, argv, environment);
    } catch (const CommandFailure &failure) {
        environment.err << "fescueledge: " << failure.what() << '\n';
        return failure.code();
    } catch (const SettingsError &error) {
        environment.err << "fescueledge: " << errorKindName(error.kind()) << ": " << error.findings().size()
                        << " findings\n"
                        << error.what() << '\n';
        return ExitCode::Refused;
    } catch (const Error &error) {
        environment.err << "fescueledge: " << errorKindName(error.kind()) << ": " << error.what() << '\n';
        return error.kind() == ErrorKind::InvalidArgument ? ExitCode::Usage : ExitCode::Refused;
    } catch (const std::exception &error) {
        environment.err << "fescueledge: internal: " << error.what() << '\n';
        return ExitCode::Unknown;
    }
}

} // namespace fescueledge
