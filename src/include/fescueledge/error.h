#pragma once

#include "fescueledge/errorkind.h"
#include "fescueledge/runoutcome.h"

#include <stdexcept>
#include <string>

namespace fescueledge {

/// A typed failure. Thrown across module boundaries and carried in asynchronous results.
class Error : public std::runtime_error
{
public:
    Error(ErrorKind kind, const std::string &message, RunOutcome outcome = RunOutcome::NotRun);

    ErrorKind kind() const;
    /// Whether the work of the failed request ran.
    RunOutcome outcome() const;

private:
    ErrorKind m_kind;
    RunOutcome m_outcome;
};

} // namespace fescueledge
