#include "fescueledge/workflow/workergateway.h"

namespace fescueledge::workflow {

const char *orderOutcomeName(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Done:
        return "done";
    case OrderOutcome::StaleTerm:
        return "stale-term";
    case OrderOutcome::StaleRun:
        return "stale-run";
    case OrderOutcome::Late:
        return "late";
    case OrderOutcome::InsufficientCapacity:
        return "no-room";
    case OrderOutcome::NoTicket:
        return "no-ticket";
    case OrderOutcome::Rejected:
        return "rejected";
    case OrderOutcome::Unhealthy:
        return "unhealthy";
    case OrderOutcome::OtherIncarnation:
        return "other-life";
    case OrderOutcome::NotSent:
        return "not-sent";
    case OrderOutcome::NoAnswer:
        return "no-answer";
    }
    return "unknown";
}

const char *runEndName(RunEnd end)
{
    switch (end) {
    case RunEnd::Done:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::LeaseExpired:
        return "lapsed";
    case RunEnd::GangMemberEnded:
        return "broken";
    case RunEnd::GangIncomplete:
        return "alone";
    }
    return "unknown";
}

} // namespace fescueledge::workflow
