#pragma once

#include <stdexcept>
#include <string>

namespace fescueledge {

/// Exit codes of the program.
enum class ExitCode {
    Ok = 0,
    Refused = 1, ///< Refused with a typed error; nothing was changed.
    Usage = 2, ///< The command line is wrong.
    Conflict = 3, ///< The change was made against a version that is no longer current.
    Unreachable = 4, ///< No node answered; nothing was sent.
    Unknown = 5, ///< The change may have been made.
    NotYetInForce = 6, ///< The change is accepted, but not in force everywhere within the timeout.
};

/// Ends a command with an exit code and a message for standard error.
class CommandFailure : public std::runtime_error
{
public:
    CommandFailure(ExitCode code, const std::string &message)
        : std::runtime_error(message)
        , m_code(code)
    {
    }

    ExitCode code() const
    {
        return m_code;
    }

private:
    ExitCode m_code;
};

} // namespace fescueledge
