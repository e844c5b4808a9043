#pragma once

#include "fescueledge/jobqueue.h"

#include <memory>

namespace fescueledge {

class PartitionSet;
struct QueueContext;
struct CommitResult;
struct ReadResult;

/// Writes new jobs and cancellations directly to the store, whichever node owns their partition, and sends the owner a
/// hint to read them.
class JobSubmitter
{
public:
    JobSubmitter(QueueContext *context, PartitionSet *partitions);

    void start();
    void submit(const JobSpec &spec, JobQueue::SubmitHandler handler);
    /// Writes a row that cancels @p job once an owner of its partition reads it, if the job row still has version
    /// @p version. Errors: Conflict if it has another version, or if such a row already exists.
    void writeCancel(const JobId &job, RowVersion version, const std::string &cancelledBy,
                     std::function<void(std::optional<Error>)> handler);

private:
    struct Submission;

    void readKey(const std::shared_ptr<Submission> &submission);
    void onKey(const std::shared_ptr<Submission> &submission, const ReadResult &result);
    void insert(const std::shared_ptr<Submission> &submission);
    void onInsert(const std::shared_ptr<Submission> &submission, const CommitResult &result);
    void sendHint(const JobId &job, int attempt);

    QueueContext *m_context;
    PartitionSet *m_partitions;
};

} // namespace fescueledge
