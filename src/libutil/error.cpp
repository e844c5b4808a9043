#include "fescueledge/error.h"

namespace fescueledge {

Error::Error(ErrorKind kind, const std::string &message, RunOutcome outcome)
    : std::runtime_error(message)
    , m_kind(kind)
    , m_outcome(outcome)
{
}

ErrorKind Error::kind() const
{
    return m_kind;
}

RunOutcome Error::outcome() const
{
    return m_outcome;
}

const char *errorKindName(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidArgument:
        return "invalid-argument";
    case ErrorKind::InvalidSettings:
        return "invalid-settings";
    case ErrorKind::NotFound:
        return "not-found";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::DigestMismatch:
        return "digest-mismatch";
    case ErrorKind::Unauthorized:
        return "unauthorized";
    case ErrorKind::KeyReused:
        return "key-reused";
    case ErrorKind::InProgress:
        return "in-progress";
    case ErrorKind::NoRoute:
        return "no-route";
    case ErrorKind::NoCapacity:
        return "no-capacity";
    case ErrorKind::LimitExceeded:
        return "limit-exceeded";
    case ErrorKind::DeadlineExceeded:
        return "deadline-exceeded";
    case ErrorKind::EndpointFailed:
        return "endpoint-failed";
    case ErrorKind::EndpointUnreachable:
        return "endpoint-unreachable";
    case ErrorKind::StoreUnavailable:
        return "store-unavailable";
    case ErrorKind::StoreOutcomeUnknown:
        return "store-outcome-unknown";
    case ErrorKind::NotActing:
        return "not-acting";
    case ErrorKind::ShuttingDown:
        return "shutting-down";
    case ErrorKind::NeverRunnable:
        return "never-runnable";
    case ErrorKind::PeerUnreachable:
        return "peer-unreachable";
    case ErrorKind::Internal:
        return "internal";
    }
    return "internal";
}

const char *runOutcomeName(RunOutcome outcome)
{
    switch (outcome) {
    case RunOutcome::NotRun:
        return "not run";
    case RunOutcome::Ran:
        return "ran";
    case RunOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace fescueledge
