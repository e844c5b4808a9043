#include "jobsubmitter_pvt.h"

#include "fescueledge/authority.h"
#include "fescueledge/loop.h"
#include "fescueledge/peertransport.h"
#include "fescueledge/tableservice.h"

#include "jobrecord_pvt.h"
#include "partitionset_pvt.h"
#include "queuecontext_pvt.h"
#include "queuepartition_pvt.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace fescueledge {

namespace {

constexpr Milliseconds writeTimeout{3000};
constexpr Milliseconds hintTimeout{500};
constexpr Milliseconds firstHintDelay{100};
constexpr int maxHintAttempts = 6;

} // namespace

struct JobSubmitter::Submission
{
    JobSpec spec;
    std::string digest;
    JobId job;
    JobQueue::SubmitHandler handler;

    void fail(ErrorKind kind, const std::string &message, RunOutcome outcome)
    {
        JobQueue::SubmitResult result;
        result.error = Error(kind, message, outcome);
        handler(result);
    }

    void accept(const JobId &id, bool existed)
    {
        JobQueue::SubmitResult result;
        result.job = id;
        result.existed = existed;
        handler(result);
    }
};

JobSubmitter::JobSubmitter(QueueContext *context, PartitionSet *partitions)
    : m_context(context)
    , m_partitions(partitions)
{
}

void JobSubmitter::start()
{
    m_context->transport->setReceiver(
        "job-added", [this](const NodeId &, const PeerMessage &message, const PeerTransport::Responder &respond) {
            const JobId job = message.body.at("job").get<JobId>();
            const std::shared_ptr<QueuePartition> partition = m_partitions->ownedFor(job);
            if (partition) {
                partition->onHint(job);
            }
            respond(PeerMessage{"job-added", {{"taken", partition != nullptr}}});
        });
}

void JobSubmitter::submit(const JobSpec &spec, JobQueue::SubmitHandler handler)
{
    const auto submission = std::make_shared<Submission>();
    submission->spec = spec;
    submission->handler = std::move(handler);
    try {
        validateJobSpec(spec);
    } catch (const Error &error) {
        const std::string message = error.what();
        m_context->loop->post([submission, message] {
            submission->fail(ErrorKind::InvalidArgument, message, RunOutcome::NotRun);
        });
        return;
    }
    submission->digest = jobSpecDigest(spec);
    submission->job = m_context->random.uniqueId();
    readKey(submission);
}

void JobSubmitter::readKey(const std::shared_ptr<Submission> &submission)
{
    const std::string key = jobKeyRowKey(submission->spec.customer, submission->spec.key);
    m_context->table->read({key}, [this, submission](const ReadResult &result) {
        onKey(submission, result);
    });
}

void JobSubmitter::onKey(const std::shared_ptr<Submission> &submission, const ReadResult &result)
{
    if (!result.available) {
        submission->fail(ErrorKind::StoreUnavailable, "the store does not answer", RunOutcome::NotRun);
        return;
    }
    if (result.rows.empty()) {
        insert(submission);
        return;
    }
    const nlohmann::json row = nlohmann::json::parse(result.rows.front().value);
    if (row.at("digest").get<std::string>() != submission->digest) {
        submission->fail(ErrorKind::KeyReused, "the key was used for another job", RunOutcome::NotRun);
        return;
    }
    const JobId job = row.at("job").get<JobId>();
    sendHint(job, 0);
    submission->accept(job, true);
}

void JobSubmitter::insert(const std::shared_ptr<Submission> &submission)
{
    JobRecord record;
    record.spec = submission->spec;
    const std::string key = jobKeyRowKey(submission->spec.customer, submission->spec.key);
    const std::string row = jobRowKey(submission->job);
    Transaction transaction;
    transaction.writeId = m_context->random.uniqueId();
    transaction.conditions = {{key, 0}, {row, 0}};
    const nlohmann::json keyRow = {{"job", submission->job}, {"digest", submission->digest}};
    transaction.puts.push_back({key, keyRow.dump()});
    transaction.puts.push_back(
        {row, nlohmann::json(record).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)});
    m_context->resolver.commit(transaction, writeTimeout, [this, submission](const CommitResult &result) {
        onInsert(submission, result);
    });
}

void JobSubmitter::onInsert(const std::shared_ptr<Submission> &submission, const CommitResult &result)
{
    switch (result.status) {
    case CommitStatus::Committed:
        LOG(INFO) << "job_accepted job=" << submission->job << " team=" << submission->spec.team
                  << " tasks=" << submission->spec.taskCount;
        sendHint(submission->job, 0);
        submission->accept(submission->job, false);
        return;
    case CommitStatus::Conflict:
        // Another submission with this key was committed first.
        readKey(submission);
        return;
    case CommitStatus::Unavailable:
        submission->fail(ErrorKind::StoreUnavailable, "the store refused the write", RunOutcome::NotRun);
        return;
    case CommitStatus::Rejected:
        submission->fail(ErrorKind::InvalidArgument, "the job is too long to be stored", RunOutcome::NotRun);
        return;
    case CommitStatus::Unknown:
        submission->fail(ErrorKind::StoreOutcomeUnknown, "the store did not answer the write; submit with the same key",
                         RunOutcome::Unknown);
        return;
    }
}

void JobSubmitter::sendHint(const JobId &job, int attempt)
{
    if (attempt >= maxHintAttempts) {
        return;
    }
    const auto retry = [this, job, attempt] {
        const Duration delay = firstHintDelay * (1 << attempt);
        m_context->loop->postAfter(m_context->jittered(delay), [this, job, attempt] {
            sendHint(job, attempt + 1);
        });
    };
    const NodeId owner = m_context->authority->ownerOf(queueShard(partitionOfJob(job)));
    if (owner.empty()) {
        retry();
        return;
    }
    m_context->transport->call(owner, PeerMessage{"job-added", {{"job", job}}}, hintTimeout,
                               [retry](const PeerResult &result) {
                                   if (!result.answered || !result.reply.body.value("taken", false)) {
                                       retry();
                                   }
                               });
}

void JobSubmitter::writeCancel(const JobId &job, RowVersion version, const std::string &cancelledBy,
                               std::function<void(std::optional<Error>)> handler)
{
    Transaction transaction;
    transaction.writeId = m_context->random.uniqueId();
    transaction.conditions = {{cancelRowKey(job), 0}, {jobRowKey(job), version}};
    transaction.puts.push_back({cancelRowKey(job), nlohmann::json({{"who", cancelledBy}}).dump()});
    m_context->resolver.commit(
        transaction, writeTimeout, [this, job, handler = std::move(handler)](const CommitResult &result) {
            if (result.status == CommitStatus::Unavailable) {
                handler(Error(ErrorKind::StoreUnavailable, "the store refused the write", RunOutcome::NotRun));
                return;
            }
            if (result.status == CommitStatus::Unknown) {
                handler(Error(ErrorKind::StoreOutcomeUnknown, "the store did not answer", RunOutcome::Unknown));
                return;
            }
            sendHint(job, 0);
            if (result.status == CommitStatus::Conflict) {
                handler(Error(ErrorKind::Conflict, "the job changed or is being cancelled"));
                return;
            }
            handler(std::nullopt);
        });
}

} // namespace fescueledge
