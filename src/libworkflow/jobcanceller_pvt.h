#pragma once

#include "fescueledge/commitresolver.h"
#include "fescueledge/random.h"
#include "fescueledge/workflow/workflownode.h"

#include <deque>

namespace fescueledge::workflow {

/// Cancels jobs for callers, through the store.
///
/// The row of a cancellation is written for a job that isn't there too: its submission may be on its way, in a slow
/// node or in the store, and is refused once that row is there.
class JobCanceller : public std::enable_shared_from_this<JobCanceller>
{
public:
    using AnswerHandler = WorkflowNode::AnswerHandler;

    /// Cancellations of unknown jobs stay for @p retention.
    JobCanceller(const NodeDependencies &parts, Milliseconds retention, std::uint64_t seed);

    /// Cancels job @p id for @p caller. The outcome of a write is looked up for at most @p commitTimeout.
    void cancel(const JobId &id, const Caller &caller, Milliseconds commitTimeout, const AnswerHandler &handler);

    /// Called when a known job has been cancelled in the store.
    std::function<void(const JobId &)> cancelled;

private:
    struct Request
    {
        JobId id;
        Caller caller;
        Milliseconds commitTimeout{0};
        AnswerHandler handler;
        int attempts = 0;
    };
    using RequestPtr = std::shared_ptr<Request>;

    void readRows(const RequestPtr &request);
    void onRows(const RequestPtr &request, const ReadResult &result);
    /// Stores the cancellation of a job whose row has version @p job; 0 if there is none.
    void write(const RequestPtr &request, RowVersion job);
    void onWritten(const RequestPtr &request, bool isKnown, const CommitResult &result);
    /// Counts the cancellation of an unknown job; false if there are too many.
    bool admitUnknown();

    NodeDependencies m_parts;
    CommitResolver m_resolver;
    Random m_random;
    Milliseconds m_retention;
    std::deque<TimePoint> m_unknown; ///< When cancellations of unknown jobs were stored, within the retention.
};

} // namespace fescueledge::workflow
