#include "frontanswers_pvt.h"

#include "fescueledge/row.h"
#include "jobrow_pvt.h"

#include <nlohmann/json.hpp>

namespace fescueledge::workflow {

namespace {

/// Callers retry after this time if the store was unavailable: outages last seconds.
constexpr std::chrono::seconds storeRetryAfter{1};

} // namespace

const char *phaseName(JobPhase phase)
{
    switch (phase) {
    case JobPhase::Queued:
        return "queued";
    case JobPhase::InProgress:
        return "in_progress";
    case JobPhase::Complete:
        return "complete";
    case JobPhase::Failed:
        return "failed";
    case JobPhase::Cancelled:
        return "cancelled";
    }
    return "queued";
}

const char *commitName(CommitStatus status)
{
    switch (status) {
    case CommitStatus::Committed:
        return "accepted";
    case CommitStatus::Conflict:
        return "known";
    case CommitStatus::Unavailable:
        return "refused";
    case CommitStatus::Rejected:
        return "rejected";
    case CommitStatus::Unknown:
        return "unknown";
    }
    return "unknown";
}

CallerAnswer unavailable(const std::string &detail)
{
    CallerAnswer answer;
    answer.outcome = CallerOutcome::Unavailable;
    answer.detail = detail;
    answer.retryAfter = storeRetryAfter;
    return answer;
}

CallerAnswer stateAnswer(const std::string &state)
{
    CallerAnswer answer;
    answer.outcome = CallerOutcome::Ok;
    answer.state = state;
    return answer;
}

CallerAnswer outcomeAnswer(CallerOutcome outcome, const std::string &detail)
{
    CallerAnswer answer;
    answer.outcome = outcome;
    answer.detail = detail;
    return answer;
}

CallerAnswer otherAccountAnswer()
{
    return outcomeAnswer(CallerOutcome::OtherAccount, "the job belongs to another account");
}

bool isClosedTo(const Caller &caller, const JobOwner &owner)
{
    const bool isOfOtherQueue = !caller.queue.empty() && owner.queue != caller.queue;
    return (caller.ownJobsOnly || isOfOtherQueue) && !owner.account.empty() && owner.account != caller.account;
}

bool isRowClosedTo(const Caller &caller, const Row &job)
{
    try {
        const JobRow row = decodeJobRow(job.value);
        return isClosedTo(caller, JobOwner{row.account, row.policy.name});
    } catch (const nlohmann::json::exception &) {
        return false; // The coordinator reports such a row.
    }
}

CallerAnswer commitAnswer(CommitStatus status)
{
    switch (status) {
    case CommitStatus::Committed:
        return outcomeAnswer(CallerOutcome::Ok);
    case CommitStatus::Unavailable:
        return unavailable("the store refused the write");
    case CommitStatus::Rejected:
        return outcomeAnswer(CallerOutcome::Invalid, "the job is too long to be stored");
    case CommitStatus::Conflict:
        return outcomeAnswer(CallerOutcome::Unknown, "the rows of the job are changing");
    case CommitStatus::Unknown:
        break;
    }
    return outcomeAnswer(CallerOutcome::Unknown, "the store did not answer the write");
}

} // namespace fescueledge::workflow
