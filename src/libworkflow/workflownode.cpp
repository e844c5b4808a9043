#include "fescueledge/workflow/workflownode.h"

#include "election_pvt.h"
#include "fescueledge/error.h"
#include "fescueledge/eventlog.h"
#include "fescueledge/load/retryadvice.h"
#include "fescueledge/peertransport.h"
#include "fescueledge/workflow/catalogsource.h"
#include "frontanswers_pvt.h"
#include "jobcanceller_pvt.h"
#include "jobrow_pvt.h"
#include "rows_pvt.h"
#include "storemonitor_pvt.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fescueledge::workflow {

using nlohmann::json;

namespace {

/// A caller is answered at least this long before its own timeout.
constexpr Milliseconds answerMargin{300};
/// The outcome of a write is looked up for at most this long; after that the caller does better to ask another node.
constexpr Milliseconds maxCommitTimeout{1500};
/// If a write has not been answered for this long, and no other has either, the store counts as unavailable.
constexpr Milliseconds writeAnswerTimeout{700};
/// After a refused or unanswered write, new ones are refused without an attempt for this time.
constexpr Milliseconds storeBackoff{150};
/// Timeout of calls to the coordinator; after that the store is read.
constexpr Milliseconds peerTimeout{300};
/// An operator waits for an explanation, which takes a coordinator on a small part of a core longer than a state.
constexpr Milliseconds explanationTimeout{2000};
/// A coordinator whose term the store has confirmed within this time tells states from its tables. A replaced one is
/// silent for longer before another takes over and ends a job.
constexpr Milliseconds statusFreshness{300};

Milliseconds commitTimeoutFor(Milliseconds callerTimeout)
{
    if (callerTimeout.count() <= 0) {
        return maxCommitTimeout;
    }
    return std::min(maxCommitTimeout, std::max(Milliseconds{0}, callerTimeout - answerMargin));
}

} // namespace

class WorkflowNode::Impl : public std::enable_shared_from_this<WorkflowNode::Impl>
{
public:
    Impl(const NodeDependencies &parts, const WorkflowNodeIdentity &self, const CoordinatorSettings &settings)
        : m_parts(parts)
        , m_resolver(m_parts.loop, m_parts.table)
        , m_random(self.seed + 1)
        , m_store(std::make_shared<StoreMonitor>(parts.loop, parts.table, parts.log, settings.detectSilentStore))
        , m_retryAdvice(self.seed + 3)
        , m_election(parts, self, settings, m_store)
        , m_canceller(std::make_shared<JobCanceller>(parts, settings.statusRetention, self.seed + 2))
    {
    }

    void start();
    void submit(const QueuePolicy &queue, const JobId &id, const WorkflowSpec &spec, const Caller &caller,
                const AnswerHandler &handler);
    void status(const JobId &id, const Caller &caller, const AnswerHandler &handler);
    void cancel(const JobId &id, const Caller &caller, const AnswerHandler &handler);
    void pending(const QueuePolicy &queue, const AnswerHandler &handler);
    void explainPlace(const QueuePolicy &queue, const std::string &account, const WorkflowSpec &spec,
                      const AnswerHandler &handler);

    Election &election()
    {
        return m_election;
    }

    std::shared_ptr<const Catalog> catalog;
    std::function<void(const Catalog &)> catalogHandler;

private:
    /// A job that a caller submits.
    struct Submission
    {
        JobId id;
        std::string queue;
        Caller caller;
        std::string row;
        TimePoint since{};
        std::uint64_t number = 0; ///< Key in m_submissions.
        AnswerHandler handler;
    };

    void setReceivers();
    void onAcceptedNotice(const json &body);
    /// The coordinator's answer to question @p body of another node; empty if it can't be read, or not answered yet.
    std::string onPlaceQuestion(const json &body);
    void onJobWritten(const std::shared_ptr<Submission> &submission, const CommitResult &result);
    /// Answers a submission that the store refused because of a row that is there already: the job, or its
    /// cancellation.
    void resolveConflict(const std::shared_ptr<Submission> &submission);
    void notifyCoordinator(const char *kind, const json &body);
    /// Whether state @p phase, which the local coordinator has for job @p id, can be told without a look at the store.
    bool isConfirmed(const JobId &id, JobPhase phase) const;
    /// @p otherwise, the state that the coordinator tells, is told unless the store has an end of the job; empty if
    /// no coordinator answers.
    void statusFromStore(const JobId &id, const std::string &otherwise, const Caller &caller,
                         const AnswerHandler &handler);
    void logSubmission(const Submission &submission, const char *outcome);
    void recordCommit(const Submission &submission, CommitStatus status);
    /// Ends with the first answer of a store that was silent.
    void endDoubt();
    /// The answer to @p caller, none of whose request was or will be carried out.
    CallerAnswer refusal(const Caller &caller, const std::string &detail);
    bool isStoreUnavailable() const;

    NodeDependencies m_parts;
    CommitResolver m_resolver;
    Random m_random;
    std::shared_ptr<StoreMonitor> m_store; ///< Shared with its pending calls.
    load::RetryAdvice m_retryAdvice;
    Election m_election;
    TimePoint m_storeBackoffUntil{};
    TimePoint m_writeAnsweredAt{}; ///< Last answer to a write.
    bool m_storeInDoubt = false; ///< The last write that ended was not answered, so one write is tried at a time.
    std::uint64_t m_nextSubmission = 0;
    std::map<std::uint64_t, TimePoint> m_submissions; ///< Start times of the pending writes.
    std::shared_ptr<JobCanceller> m_canceller; ///< Shared with its pending calls.
};

void WorkflowNode::Impl::start()
{
    setReceivers();
    const std::weak_ptr<Impl> weak = shared_from_this();
    m_store->answersAgain = [weak] {
        const std::shared_ptr<Impl> self = weak.lock();
        if (self) {
            self->endDoubt();
        }
    };
    m_canceller->cancelled = [weak](const JobId &id) {
        const std::shared_ptr<Impl> self = weak.lock();
        if (self) {
            self->notifyCoordinator("job-cancelled", json{{"id", id}});
        }
    };
    m_parts.catalogs->setContactHandler([store = m_store](bool answered) {
        store->recordWatch(answered);
    });
    m_parts.catalogs->follow([weak](const std::shared_ptr<const Catalog> &newest) {
        const std::shared_ptr<Impl> self = weak.lock();
        if (!self) {
            return;
        }
        self->m_parts.log->write(LogLine("catalog_in_force")
                                     .with("version", static_cast<std::int64_t>(newest->version))
                                     .with("queues", static_cast<std::int64_t>(newest->queues.size()))
                                     .with("evacuated", static_cast<std::int64_t>(newest->evacuated.size())));
        self->m_election.setCatalog(newest);
        self->catalog = newest;
        if (self->catalogHandler) {
            self->catalogHandler(*newest);
        }
    });
    m_election.start();
}

void WorkflowNode::Impl::setReceivers()
{
    const std::weak_ptr<Impl> weak = shared_from_this();
    m_parts.peers->setReceiver(
        "job-status", [weak](const NodeId &, const PeerMessage &message, const PeerTransport::Responder &respond) {
            const std::shared_ptr<Impl> self = weak.lock();
            json body = json::object();
            if (self && self->m_election.localCoordinator() != nullptr) {
                const std::optional<JobPhase> phase =
                    self->m_election.localCoordinator()->status(message.body.value("id", JobId()));
                if (phase) {
                    const JobOwner owner =
                        self->m_election.localCoordinator()->ownerOf(message.body.value("id", JobId()));
                    body["account"] = owner.account;
                    body["queue"] = owner.queue;
                    body["confirmed"] = self->isConfirmed(message.body.value("id", JobId()), *phase);
                    body["state"] = phaseName(*phase);
                }
            }
            respond(PeerMessage{"job-status", body});
        });
    m_parts.peers->setReceiver(
        "job-accepted", [weak](const NodeId &, const PeerMessage &message, const PeerTransport::Responder &respond) {
            const std::shared_ptr<Impl> self = weak.lock();
            if (self) {
                self->onAcceptedNotice(message.body);
            }
            respond(PeerMessage{"job-accepted", json::object()});
        });
    m_parts.peers->setReceiver(
        "job-cancelled", [weak](const NodeId &, const PeerMessage &message, const PeerTransport::Responder &respond) {
            const std::shared_ptr<Impl> self = weak.lock();
            if (self && self->m_election.localCoordinator() != nullptr) {
                self->m_election.localCoordinator()->handleCancellation(message.body.value("id", JobId()));
            }
            respond(PeerMessage{"job-cancelled", json::object()});
        });
    m_parts.peers->setReceiver(
        "queue-pending", [weak](const NodeId &, const PeerMessage &message, const PeerTransport::Responder &respond) {
            const std::shared_ptr<Impl> self = weak.lock();
            json body = json::object();
            if (self && self->m_election.localCoordinator() != nullptr) {
                const std::optional<std::size_t> n =
                    self->m_election.localCoordinator()->pending(message.body.value("queue", std::string()));
                if (n) {
                    body["pending"] = *n;
                }
            }
            respond(PeerMessage{"queue-pending", body});
        });
    m_parts.peers->setReceiver(
        "explain-place", [weak](const NodeId &, const PeerMessage &message, const PeerTransport::Responder &respond) {
            const std::shared_ptr<Impl> self = weak.lock();
            json body = json::object();
            if (self && self->m_election.localCoordinator() != nullptr) {
                body["explanation"] = self->onPlaceQuestion(message.body);
            }
            respond(PeerMessage{"explain-place", body});
        });
}

bool WorkflowNode::Impl::isStoreUnavailable() const
{
    const TimePoint now = m_parts.loop->now();
    if (m_store->isSilent() || now < m_storeBackoffUntil) {
        return true;
    }
    if (m_submissions.empty()) {
        return false;
    }
    // A caller that is refused at once, with certainty, can ask another node; one that waits here can't. A store that
    // is merely slow still answers some writes.
    return m_storeInDoubt || now > std::max(m_submissions.begin()->second, m_writeAnsweredAt) + writeAnswerTimeout;
}

void WorkflowNode::Impl::endDoubt()
{
    m_storeBackoffUntil = TimePoint{};
    m_storeInDoubt = false;
    // Writes that were sent into the silence say nothing about those that are sent now.
    m_writeAnsweredAt = m_parts.loop->now();
}

CallerAnswer WorkflowNode::Impl::refusal(const Caller &caller, const std::string &detail)
{
    CallerAnswer answer = unavailable(detail);
    if (!m_store->isEnabled()) {
        return answer;
    }
    answer.retryAfter = m_retryAdvice.delayFor(m_store->unansweredFor(), caller.timeout, m_parts.loop->now());
    return answer;
}

void WorkflowNode::Impl::recordCommit(const Submission &submission, CommitStatus status)
{
    m_submissions.erase(submission.number);
    const bool bad = status == CommitStatus::Unavailable || status == CommitStatus::Unknown;
    if (bad) {
        m_store->recordFailure(submission.since);
    } else {
        m_store->recordAnswer();
    }
    m_storeBackoffUntil = bad ? m_parts.loop->now() + storeBackoff : TimePoint{};
    m_storeInDoubt = status == CommitStatus::Unknown;
    m_writeAnsweredAt = bad ? m_writeAnsweredAt : m_parts.loop->now();
}

void WorkflowNode::Impl::logSubmission(const Submission &submission, const char *outcome)
{
    const Milliseconds took = std::chrono::duration_cast<Milliseconds>(m_parts.loop->now() - submission.since);
    LogLine line("job_submit");
    line.with("job", submission.id).with("queue", submission.queue);
    if (!submission.caller.account.empty()) {
        line.with("account", submission.caller.account);
    }
    m_parts.log->write(line.with("catalog", static_cast<std::int64_t>(catalog ? catalog->version : 0))
                           .with("outcome", outcome)
                           .with("took_ms", took));
}

void WorkflowNode::Impl::submit(const QueuePolicy &queue, const JobId &id, const WorkflowSpec &spec,
                                const Caller &caller, const AnswerHandler &handler)
{
    try {
        validate(spec);
    } catch (const Error &error) {
        handler(outcomeAnswer(CallerOutcome::Invalid, error.what()));
        return;
    }
    const std::shared_ptr<Submission> submission = std::make_shared<Submission>();
    submission->id = id;
    submission->queue = queue.name;
    submission->caller = caller;
    submission->since = m_parts.loop->now();
    submission->handler = handler;
    if (isStoreUnavailable()) {
        logSubmission(*submission, commitName(CommitStatus::Unavailable));
        handler(refusal(caller, "the store is not available"));
        return;
    }
    JobRow row;
    row.spec = spec;
    row.policy = queue;
    row.account = caller.account;
    row.acceptedAt = m_parts.wallClock();
    submission->row = encodeJobRow(row);
    submission->number = m_nextSubmission++;
    m_submissions.emplace(submission->number, submission->since);
    m_store->recordSent();
    Transaction transaction;
    transaction.writeId = m_random.uniqueId();
    transaction.conditions.push_back({rows::job(id), 0});
    // The caller may have given up on this submission, cancelled the job elsewhere and been told that there is none.
    transaction.conditions.push_back({rows::cancellation(id), 0});
    transaction.puts.push_back({rows::job(id), submission->row});
    const std::shared_ptr<Impl> self = shared_from_this();
    m_resolver.commit(transaction, commitTimeoutFor(caller.timeout), [self, submission](const CommitResult &result) {
        self->onJobWritten(submission, result);
    });
}

void WorkflowNode::Impl::onJobWritten(const std::shared_ptr<Submission> &submission, const CommitResult &result)
{
    recordCommit(*submission, result.status);
    if (result.status == CommitStatus::Conflict) {
        resolveConflict(submission);
        return;
    }
    logSubmission(*submission, commitName(result.status));
    if (result.status == CommitStatus::Committed) {
        notifyCoordinator("job-accepted",
                          json{{"id", submission->id},
                               {"row", json::binary({submission->row.begin(), submission->row.end()})},
                               {"version", result.version}});
    }
    submission->handler(result.status == CommitStatus::Unavailable
                            ? refusal(submission->caller, "the store refused the write")
                            : commitAnswer(result.status));
}

void WorkflowNode::Impl::resolveConflict(const std::shared_ptr<Submission> &submission)
{
    const std::vector<std::string> keys{rows::job(submission->id), rows::cancellation(submission->id)};
    const std::shared_ptr<Impl> self = shared_from_this();
    m_parts.table->read(keys, [self, submission, keys](const ReadResult &result) {
        const Row *job = result.find(keys.front());
        if (job != nullptr && isRowClosedTo(submission->caller, *job)) {
            self->logSubmission(*submission, "other_account");
            submission->handler(otherAccountAnswer());
        } else if (job != nullptr) {
            // Written by an earlier attempt, or by another caller with the same id.
            self->logSubmission(*submission, commitName(CommitStatus::Conflict));
            submission->handler(outcomeAnswer(CallerOutcome::Ok));
        } else if (result.find(keys.back()) != nullptr) {
            self->logSubmission(*submission, "cancelled");
            submission->handler(
                outcomeAnswer(CallerOutcome::Cancelled, "the job was cancelled before it was accepted"));
        } else {
            // The store doesn't answer, or the row has been removed since.
            self->logSubmission(*submission, commitName(CommitStatus::Unknown));
            submission->handler(
                outcomeAnswer(CallerOutcome::Unknown, "the store does not tell whether it has the job"));
        }
    });
}

void WorkflowNode::Impl::notifyCoordinator(const char *kind, const json &body)
{
    if (m_election.localCoordinator() != nullptr) {
        if (std::string(kind) == "job-accepted") {
            onAcceptedNotice(body);
        } else {
            m_election.localCoordinator()->handleCancellation(body.value("id", JobId()));
        }
        return;
    }
    if (!m_election.coordinator().empty()) {
        // Not retried, because the coordinator also watches the rows.
        m_parts.peers->call(m_election.coordinator(), PeerMessage{kind, body}, peerTimeout, [](const PeerResult &) {});
    }
}

void WorkflowNode::Impl::onAcceptedNotice(const json &body)
{
    if (m_election.localCoordinator() == nullptr || !body.contains("row") || !body.at("row").is_binary()) {
        return;
    }
    const json::binary_t &row = body.at("row").get_binary();
    m_election.localCoordinator()->handleAcceptedJob(body.value("id", JobId()), std::string(row.begin(), row.end()),
                                                     body.value("version", RowVersion{0}));
}

void WorkflowNode::Impl::status(const JobId &id, const Caller &caller, const AnswerHandler &handler)
{
    if (m_election.localCoordinator() != nullptr) {
        const std::optional<JobPhase> phase = m_election.localCoordinator()->status(id);
        if (phase && isClosedTo(caller, m_election.localCoordinator()->ownerOf(id))) {
            handler(otherAccountAnswer());
            return;
        }
        if (phase && isConfirmed(id, *phase)) {
            handler(stateAnswer(phaseName(*phase)));
            return;
        }
        statusFromStore(id, phase ? phaseName(*phase) : std::string(), caller, handler);
        return;
    }
    if (m_election.coordinator().empty()) {
        statusFromStore(id, std::string(), caller, handler);
        return;
    }
    const std::shared_ptr<Impl> self = shared_from_this();
    m_parts.peers->call(
        m_election.coordinator(), PeerMessage{"job-status", json{{"id", id}}}, peerTimeout,
        [self, id, caller, handler](const PeerResult &result) {
            const std::string state = result.answered ? result.reply.body.value("state", std::string()) : std::string();
            const json &body = result.reply.body;
            const bool isClosed = !state.empty()
                && isClosedTo(caller,
                              JobOwner{body.value("account", std::string()), body.value("queue", std::string())});
            if (isClosed) {
                handler(otherAccountAnswer());
            } else if (state.empty() || !result.reply.body.value("confirmed", true)) {
                self->statusFromStore(id, state, caller, handler);
            } else {
                handler(stateAnswer(state));
            }
        });
}

bool WorkflowNode::Impl::isConfirmed(const JobId &id, JobPhase phase) const
{
    // A coordinator that was replaced without knowing it, or that waits for the answer to the write of an end, may not
    // know what others have read in the store. Ends that it knows are final.
    const bool ended = phase != JobPhase::Queued && phase != JobPhase::InProgress;
    return ended || (m_election.isTermConfirmedSince(statusFreshness) && !m_election.localCoordinator()->isEnding(id));
}

void WorkflowNode::Impl::statusFromStore(const JobId &id, const std::string &otherwise, const Caller &caller,
                                         const AnswerHandler &handler)
{
    const std::vector<std::string> keys{rows::job(id), rows::cancellation(id), rows::progress(id)};
    m_parts.table->read(keys, [id, otherwise, caller, handler](const ReadResult &result) {
        if (!result.available) {
            handler(otherwise.empty() ? unavailable("neither the coordinator nor the store answers")
                                      : stateAnswer(otherwise));
            return;
        }
        const Row *job = result.find(rows::job(id));
        if (job == nullptr) {
            handler(outcomeAnswer(CallerOutcome::NoJob));
            return;
        }
        if (isRowClosedTo(caller, *job)) {
            handler(otherAccountAnswer());
            return;
        }
        JobPhase phase = JobPhase::Queued;
        const Row *progress = result.find(rows::progress(id));
        if (progress != nullptr) {
            const json value = json::from_cbor(progress->value, true, false);
            phase = value.is_object() ? static_cast<JobPhase>(value.value("phase", 1)) : JobPhase::InProgress;
        }
        const bool ended = phase == JobPhase::Complete || phase == JobPhase::Failed;
        if (!ended && result.find(rows::cancellation(id)) != nullptr) {
            phase = JobPhase::Cancelled;
        }
        // The coordinator may have completed the job before it sees the cancellation.
        handler(stateAnswer(ended || otherwise.empty() ? phaseName(phase) : otherwise));
    });
}

void WorkflowNode::Impl::cancel(const JobId &id, const Caller &caller, const AnswerHandler &handler)
{
    m_canceller->cancel(id, caller, commitTimeoutFor(caller.timeout), handler);
}

void WorkflowNode::Impl::pending(const QueuePolicy &queue, const AnswerHandler &handler)
{
    const auto answer = [handler](std::optional<std::size_t> n) {
        if (!n) {
            handler(unavailable("the coordinator does not answer"));
            return;
        }
        CallerAnswer out = outcomeAnswer(CallerOutcome::Ok);
        out.pending = *n;
        handler(out);
    };
    if (m_election.localCoordinator() != nullptr) {
        answer(m_election.localCoordinator()->pending(queue.name));
        return;
    }
    if (m_election.coordinator().empty()) {
        answer(std::nullopt);
        return;
    }
    m_parts.peers->call(m_election.coordinator(), PeerMessage{"queue-pending", json{{"queue", queue.name}}},
                        peerTimeout, [answer](const PeerResult &result) {
                            if (result.answered && result.reply.body.contains("pending")) {
                                answer(result.reply.body.at("pending").get<std::size_t>());
                            } else {
                                answer(std::nullopt);
                            }
                        });
}

std::string WorkflowNode::Impl::onPlaceQuestion(const json &body)
{
    try {
        const WorkflowSpec spec = body.at("spec").get<WorkflowSpec>();
        validate(spec);
        return m_election.localCoordinator()->explainPlace(body.at("queue").get<std::string>(),
                                                           body.at("account").get<std::string>(), spec);
    } catch (const json::exception &error) {
        m_parts.log->write(LogLine("place_question_invalid").with("detail", error.what()));
    } catch (const Error &error) {
        m_parts.log->write(LogLine("place_question_invalid").with("detail", error.what()));
    }
    return std::string();
}

void WorkflowNode::Impl::explainPlace(const QueuePolicy &queue, const std::string &account, const WorkflowSpec &spec,
                                      const AnswerHandler &handler)
{
    WorkflowSpec question = spec;
    question.payload.clear(); // It is no matter for the place.
    try {
        validate(question);
    } catch (const Error &error) {
        handler(outcomeAnswer(CallerOutcome::Invalid, error.what()));
        return;
    }
    const auto answer = [handler](const std::string &explanation) {
        if (explanation.empty()) {
            handler(unavailable("the coordinator does not answer, or has not read all jobs yet"));
            return;
        }
        CallerAnswer out = outcomeAnswer(CallerOutcome::Ok);
        out.explanation = explanation;
        handler(out);
    };
    if (m_election.localCoordinator() != nullptr) {
        answer(m_election.localCoordinator()->explainPlace(queue.name, account, question));
        return;
    }
    if (m_election.coordinator().empty()) {
        answer(std::string());
        return;
    }
    m_parts.peers->call(
        m_election.coordinator(),
        PeerMessage{"explain-place", json{{"queue", queue.name}, {"account", account}, {"spec", question}}},
        explanationTimeout, [answer](const PeerResult &result) {
            answer(result.answered ? result.reply.body.value("explanation", std::string()) : std::string());
        });
}

WorkflowNode::WorkflowNode(const NodeDependencies &parts, const WorkflowNodeIdentity &self,
                           const CoordinatorSettings &settings)
    : m_impl(std::make_shared<Impl>(parts, self, settings))
{
}

WorkflowNode::~WorkflowNode()
{
    m_impl->election().close(); // Pending answers keep the implementation alive for longer than the parts.
}

void WorkflowNode::start()
{
    m_impl->start();
}

void WorkflowNode::resign()
{
    m_impl->election().resign();
}

bool WorkflowNode::ready() const
{
    return m_impl->catalog != nullptr;
}

std::shared_ptr<const Catalog> WorkflowNode::catalog() const
{
    return m_impl->catalog;
}

void WorkflowNode::setCatalogHandler(std::function<void(const Catalog &)> handler)
{
    m_impl->catalogHandler = std::move(handler);
}

bool WorkflowNode::isCoordinator() const
{
    return m_impl->election().localCoordinator() != nullptr;
}

std::string WorkflowNode::peerAddress(const NodeId &node) const
{
    return m_impl->election().addressOf(node);
}

void WorkflowNode::submit(const QueuePolicy &queue, const JobId &id, const WorkflowSpec &spec, const Caller &caller,
                          const AnswerHandler &handler)
{
    m_impl->submit(queue, id, spec, caller, handler);
}

void WorkflowNode::status(const JobId &id, const Caller &caller, const AnswerHandler &handler)
{
    m_impl->status(id, caller, handler);
}

void WorkflowNode::cancel(const JobId &id, const Caller &caller, const AnswerHandler &handler)
{
    m_impl->cancel(id, caller, handler);
}

void WorkflowNode::pending(const QueuePolicy &queue, const AnswerHandler &handler)
{
    m_impl->pending(queue, handler);
}

void WorkflowNode::explainPlace(const QueuePolicy &queue, const std::string &account, const WorkflowSpec &spec,
                                const AnswerHandler &handler)
{
    m_impl->explainPlace(queue, account, spec, handler);
}

} // namespace fescueledge::workflow
