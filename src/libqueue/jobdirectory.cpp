#include "jobdirectory_pvt.h"

#include "fescueledge/authority.h"
#include "fescueledge/loop.h"
#include "fescueledge/peertransport.h"
#include "fescueledge/tableservice.h"

#include "partitionset_pvt.h"
#include "queuecontext_pvt.h"
#include "queuepartition_pvt.h"
#include "storedjob_pvt.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace fescueledge {

namespace {

constexpr Milliseconds ownerCallTimeout{1500};
/// Reply kind of a node that is not the owner or can't serve the request.
constexpr const char *notOwner = "not-owner";

bool matches(const JobFilter &filter, const JobStatus &status)
{
    return (filter.customer.empty() || filter.customer == status.customer)
        && (filter.team.empty() || filter.team == status.team);
}

} // namespace

/// A job list that is collected partition by partition.
struct JobDirectory::Listing
{
    JobFilter filter;
    int partition = 0;
    JobQueue::ListResult result;
    JobQueue::ListHandler handler;

    bool isFull() const
    {
        return static_cast<int>(result.jobs.size()) >= filter.limit;
    }

    void add(const JobStatus &status)
    {
        if (!isFull() && matches(filter, status)) {
            result.jobs.push_back(status);
        }
    }

    void fail()
    {
        result.error = Error(ErrorKind::StoreUnavailable, "the store does not answer");
        handler(result);
    }
};

JobDirectory::JobDirectory(QueueContext *context, PartitionSet *partitions, JobSubmitter *submitter)
    : m_context(context)
    , m_partitions(partitions)
    , m_submitter(submitter)
{
}

void JobDirectory::start()
{
    setReceiver("job-cancel", [this](const nlohmann::json &body, const Responder &respond) {
        onCancel(body, respond);
    });
    setReceiver("job-show", [this](const nlohmann::json &body, const Responder &respond) {
        onShow(body, respond);
    });
    setReceiver("job-list", [this](const nlohmann::json &body, const Responder &respond) {
        onList(body, respond);
    });
    setReceiver("job-explain", [this](const nlohmann::json &body, const Responder &respond) {
        onExplain(body, respond);
    });
}

void JobDirectory::setReceiver(const std::string &kind,
                               std::function<void(const nlohmann::json &, const Responder &)> receive)
{
    m_context->transport->setReceiver(
        kind, [receive = std::move(receive)](const NodeId &, const PeerMessage &message, const Responder &respond) {
            receive(message.body, respond);
        });
}

void JobDirectory::callOwner(int partition, const PeerMessage &message, Handler handler)
{
    const NodeId owner = m_context->authority->ownerOf(queueShard(partition));
    if (owner.empty()) {
        m_context->loop->post([handler = std::move(handler)] {
            handler(std::nullopt);
        });
        return;
    }
    const std::string kind = message.kind;
    m_context->transport->call(owner, message, ownerCallTimeout,
                               [kind, handler = std::move(handler)](const PeerResult &it) {
                                   if (it.answered && it.reply.kind == kind) {
                                       handler(it.reply.body);
                                   } else {
                                       handler(std::nullopt);
                                   }
                               });
}

void JobDirectory::onCancel(const nlohmann::json &body, const Responder &respond)
{
    const JobId id = body.at("job").get<JobId>();
    const std::string cancelledBy = body.at("who").get<std::string>();
    const std::shared_ptr<QueuePartition> partition = m_partitions->activeFor(id);
    Job *job = partition ? partition->jobs().find(id) : nullptr;
    if (job == nullptr) {
        respond(PeerMessage{notOwner, nlohmann::json::object()});
        return;
    }
    if (job->record.isClosed()) {
        respond(PeerMessage{"job-cancel", job->status()});
        return;
    }
    const std::weak_ptr<QueuePartition> weak = partition;
    const bool staged = !job->isClosing
        && partition->close(*job, TaskState::Cancelled, cancelledBy, "cancelled", [weak, id, respond](bool) {
               const std::shared_ptr<QueuePartition> locked = weak.lock();
               const Job *closed = locked ? locked->jobs().find(id) : nullptr;
               if (closed != nullptr) {
                   respond(PeerMessage{"job-cancel", closed->status()});
               }
           });
    if (!staged) {
        respond(PeerMessage{notOwner, nlohmann::json::object()});
    }
}

void JobDirectory::onShow(const nlohmann::json &body, const Responder &respond)
{
    const JobId id = body.at("job").get<JobId>();
    const std::shared_ptr<QueuePartition> partition = m_partitions->activeFor(id);
    const Job *job = partition ? partition->jobs().find(id) : nullptr;
    respond(job == nullptr ? PeerMessage{notOwner, nlohmann::json::object()} : PeerMessage{"job-show", job->status()});
}

void JobDirectory::onList(const nlohmann::json &body, const Responder &respond)
{
    const int number = body.at("partition").get<int>();
    const JobFilter filter = body.at("filter").get<JobFilter>();
    for (const std::shared_ptr<QueuePartition> &partition : m_partitions->active()) {
        if (partition->number() != number) {
            continue;
        }
        std::map<JobId, JobStatus> found;
        for (const auto &[id, job] : partition->jobs().all()) {
            if (matches(filter, job->status())) {
                found[id] = job->status();
            }
        }
        nlohmann::json jobs = nlohmann::json::array();
        for (const auto &[id, status] : found) {
            if (static_cast<int>(jobs.size()) < filter.limit) {
                jobs.push_back(status);
            }
        }
        respond(PeerMessage{"job-list", {{"jobs", jobs}}});
        return;
    }
    respond(PeerMessage{notOwner, nlohmann::json::object()});
}

void JobDirectory::onExplain(const nlohmann::json &body, const Responder &respond)
{
    const TaskId task = body.at("task").get<TaskId>();
    const std::shared_ptr<QueuePartition> partition = m_partitions->activeFor(jobOfTask(task));
    const Job *job = partition ? partition->jobs().find(jobOfTask(task)) : nullptr;
    const int index = indexOfTask(task);
    if (job == nullptr || index < 0 || index >= job->record.spec.taskCount) {
        respond(PeerMessage{notOwner, nlohmann::json::object()});
        return;
    }
    respond(PeerMessage{"job-explain", explainTask(*job, index)});
}

void JobDirectory::cancel(const JobId &job, const std::string &cancelledBy, JobQueue::CancelHandler handler)
{
    const PeerMessage message{"job-cancel", {{"job", job}, {"who", cancelledBy}}};
    callOwner(partitionOfJob(job), message,
              [this, job, cancelledBy, handler = std::move(handler)](const std::optional<nlohmann::json> &body) {
                  if (!body) {
                      cancelInStore(job, cancelledBy, handler);
                      return;
                  }
                  JobQueue::CancelResult result;
                  result.status = body->get<JobStatus>();
                  result.alreadyEnded = result.status.cancelledBy.empty();
                  handler(result);
              });
}

void JobDirectory::cancelInStore(const JobId &job, const std::string &cancelledBy,
                                 const JobQueue::CancelHandler &handler)
{
    readStoredJob(m_context, job, [this, job, cancelledBy, handler](const StoredJob &stored) {
        JobQueue::CancelResult result;
        if (stored.error) {
            // The owner may have cancelled the job although its answer was lost.
            const bool unknown = stored.error->kind() == ErrorKind::StoreUnavailable;
            result.error = unknown
                ? Error(ErrorKind::StoreOutcomeUnknown, "neither the owner nor the store answers", RunOutcome::Unknown)
                : *stored.error;
            handler(result);
            return;
        }
        result.status = stored.job->status();
        if (stored.ended || stored.job->record.isClosed()) {
            result.alreadyEnded = result.status.cancelledBy.empty();
            handler(result);
            return;
        }
        if (stored.job->cancelRowVersion != 0) {
            // A cancellation is already stored.
            handler(result);
            return;
        }
        m_submitter->writeCancel(job, stored.job->version, cancelledBy,
                                 [this, job, cancelledBy, result, handler](const std::optional<Error> &error) {
                                     if (error && error->kind() == ErrorKind::Conflict) {
                                         cancelInStore(job, cancelledBy, handler);
                                         return;
                                     }
                                     JobQueue::CancelResult written = result;
                                     written.error = error;
                                     handler(written);
                                 });
    });
}

void JobDirectory::show(const JobId &job, JobQueue::ShowHandler handler)
{
    callOwner(partitionOfJob(job), PeerMessage{"job-show", {{"job", job}}},
              [this, job, handler = std::move(handler)](const std::optional<nlohmann::json> &body) {
                  JobQueue::ShowResult result;
                  if (body) {
                      result.status = body->get<JobStatus>();
                      handler(result);
                      return;
                  }
                  readStoredJob(m_context, job, [handler](const StoredJob &stored) {
                      JobQueue::ShowResult read;
                      read.error = stored.error;
                      if (stored.job) {
                          read.status = stored.job->status();
                      }
                      handler(read);
                  });
              });
}

void JobDirectory::explain(const TaskId &task, JobQueue::ExplainHandler handler)
{
    const JobId job = jobOfTask(task);
    const int index = indexOfTask(task);
    if (job.empty() || index < 0) {
        m_context->loop->post([handler = std::move(handler)] {
            JobQueue::ExplainResult result;
            result.error = Error(ErrorKind::InvalidArgument, "a task id is <job id>/<index>");
            handler(result);
        });
        return;
    }
    callOwner(partitionOfJob(job), PeerMessage{"job-explain", {{"task", task}}},
              [this, job, index, handler = std::move(handler)](const std::optional<nlohmann::json> &body) {
                  JobQueue::ExplainResult result;
                  if (body) {
                      result.explanation = body->get<TaskExplanation>();
                      handler(result);
                      return;
                  }
                  readStoredJob(m_context, job, [index, handler](const StoredJob &stored) {
                      JobQueue::ExplainResult read;
                      read.error = stored.error;
                      if (stored.job && index < stored.job->record.spec.taskCount) {
                          read.explanation = explainTask(*stored.job, index);
                      } else if (stored.job) {
                          read.error = Error(ErrorKind::NotFound, "no such task");
                      }
                      handler(read);
                  });
              });
}

void JobDirectory::list(const JobFilter &filter, JobQueue::ListHandler handler)
{
    const auto listing = std::make_shared<Listing>();
    listing->filter = filter;
    listing->handler = std::move(handler);
    listNext(listing);
}

void JobDirectory::listNext(const std::shared_ptr<Listing> &listing)
{
    if (listing->partition == queuePartitions || listing->isFull()) {
        listing->handler(listing->result);
        return;
    }
    const PeerMessage message{"job-list", {{"partition", listing->partition}, {"filter", listing->filter}}};
    callOwner(listing->partition, message, [this, listing](const std::optional<nlohmann::json> &body) {
        if (!body) {
            listStored(listing);
            return;
        }
        for (const nlohmann::json &it : body->at("jobs")) {
            listing->add(it.get<JobStatus>());
        }
        listEnded(listing);
    });
}

void JobDirectory::listStored(const std::shared_ptr<Listing> &listing)
{
    const int partition = listing->partition;
    m_context->table->scan(partitionPrefix("job", partition), [this, listing, partition](const ReadResult &jobs) {
        if (!jobs.available) {
            listing->fail();
            return;
        }
        m_context->table->scan(partitionPrefix("block", partition), [this, listing, jobs](const ReadResult &blocks) {
            if (!blocks.available) {
                listing->fail();
                return;
            }
            std::map<JobId, std::map<int, Block>> grouped = groupBlocks(blocks.rows);
            for (const Row &row : jobs.rows) {
                listing->add(decodeJobRow(row, std::move(grouped[lastKeyPart(row.key)]))->status());
            }
            listEnded(listing);
        });
    });
}

void JobDirectory::listEnded(const std::shared_ptr<Listing> &listing)
{
    if (!listing->filter.ended || listing->isFull()) {
        ++listing->partition;
        listNext(listing);
        return;
    }
    m_context->table->scan(partitionPrefix("done", listing->partition), [this, listing](const ReadResult &rows) {
        if (!rows.available) {
            listing->fail();
            return;
        }
        for (const Row &row : rows.rows) {
            listing->add(decodeDoneRow(row)->status());
        }
        ++listing->partition;
        listNext(listing);
    });
}

} // namespace fescueledge
