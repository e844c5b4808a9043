#include "jobcanceller_pvt.h"

#include "fescueledge/eventlog.h"
#include "fescueledge/loop.h"
#include "fescueledge/watchabletable.h"
#include "frontanswers_pvt.h"
#include "rows_pvt.h"

namespace fescueledge::workflow {

namespace {

/// A cancellation whose rows change between read and write is tried this often.
constexpr int maxAttempts = 4;
/// Cancellations of unknown jobs that a node stores within the retention. A new coordinator reads them all.
constexpr std::size_t maxUnknown = 500;

} // namespace

JobCanceller::JobCanceller(const NodeDependencies &parts, Milliseconds retention, std::uint64_t seed)
    : m_parts(parts)
    , m_resolver(m_parts.loop, m_parts.table)
    , m_random(seed)
    , m_retention(retention)
{
}

void JobCanceller::cancel(const JobId &id, const Caller &caller, Milliseconds commitTimeout,
                          const AnswerHandler &handler)
{
    const RequestPtr request = std::make_shared<Request>();
    request->id = id;
    request->caller = caller;
    request->commitTimeout = commitTimeout;
    request->handler = handler;
    readRows(request);
}

void JobCanceller::readRows(const RequestPtr &request)
{
    ++request->attempts;
    const std::shared_ptr<JobCanceller> self = shared_from_this();
    m_parts.table->read({rows::job(request->id), rows::cancellation(request->id)},
                        [self, request](const ReadResult &result) {
                            self->onRows(request, result);
                        });
}

void JobCanceller::onRows(const RequestPtr &request, const ReadResult &result)
{
    if (!result.available) {
        request->handler(unavailable("the store does not answer"));
        return;
    }
    const Row *job = result.find(rows::job(request->id));
    if (job != nullptr && isRowClosedTo(request->caller, *job)) {
        m_parts.log->write(LogLine("job_cancel").with("job", request->id).with("outcome", "other_account"));
        request->handler(otherAccountAnswer());
        return;
    }
    if (result.find(rows::cancellation(request->id)) != nullptr) {
        request->handler(outcomeAnswer(job == nullptr ? CallerOutcome::NoJob : CallerOutcome::Ok));
        return;
    }
    if (job == nullptr && !admitUnknown()) {
        m_parts.log->write(LogLine("job_cancel").with("job", request->id).with("outcome", "too_many_unknown"));
        request->handler(unavailable("too many cancellations of unknown jobs"));
        return;
    }
    write(request, job == nullptr ? 0 : job->version);
}

void JobCanceller::write(const RequestPtr &request, RowVersion job)
{
    Transaction transaction;
    transaction.writeId = m_random.uniqueId();
    transaction.conditions.push_back({rows::cancellation(request->id), 0});
    transaction.conditions.push_back({rows::job(request->id), job});
    transaction.puts.push_back({rows::cancellation(request->id), "{}"});
    const std::shared_ptr<JobCanceller> self = shared_from_this();
    m_resolver.commit(transaction, request->commitTimeout,
                      [self, request, isKnown = job != 0](const CommitResult &result) {
                          self->onWritten(request, isKnown, result);
                      });
}

void JobCanceller::onWritten(const RequestPtr &request, bool isKnown, const CommitResult &result)
{
    if (result.status == CommitStatus::Conflict && request->attempts < maxAttempts) {
        readRows(request); // The job has just been stored or removed, or somebody else has cancelled it.
        return;
    }
    const bool isCommitted = result.status == CommitStatus::Committed;
    m_parts.log->write(LogLine("job_cancel")
                           .with("job", request->id)
                           .with("known", isKnown ? 1 : 0)
                           .with("attempts", request->attempts)
                           .with("outcome", commitName(result.status)));
    if (isCommitted && isKnown) {
        cancelled(request->id);
    }
    if (isCommitted) {
        request->handler(outcomeAnswer(isKnown ? CallerOutcome::Ok : CallerOutcome::NoJob));
    } else {
        request->handler(commitAnswer(result.status));
    }
}

bool JobCanceller::admitUnknown()
{
    const TimePoint now = m_parts.loop->now();
    while (!m_unknown.empty() && now - m_unknown.front() > m_retention) {
        m_unknown.pop_front();
    }
    if (m_unknown.size() >= maxUnknown) {
        return false;
    }
    m_unknown.push_back(now);
    return true;
}

} // namespace fescueledge::workflow
