#pragma once

#include "fescueledge/jobqueue.h"

#include "jobsubmitter_pvt.h"

#include <memory>
#include <nlohmann/json_fwd.hpp>

namespace fescueledge {

class PartitionSet;
class QueuePartition;
struct QueueContext;
struct PeerMessage;
struct Row;

/// Serves queries and cancellations of jobs through the owner of the partition, or from the store if the owner does not
/// answer.
class JobDirectory
{
public:
    JobDirectory(QueueContext *context, PartitionSet *partitions, JobSubmitter *submitter);

    void start();
    void cancel(const JobId &job, const std::string &cancelledBy, JobQueue::CancelHandler handler);
    void show(const JobId &job, JobQueue::ShowHandler handler);
    void list(const JobFilter &filter, JobQueue::ListHandler handler);
    void explain(const TaskId &task, JobQueue::ExplainHandler handler);

private:
    struct Listing;
    using Handler = std::function<void(const std::optional<nlohmann::json> &)>;
    using Responder = std::function<void(const PeerMessage &)>;

    /// Calls the owner of @p partition. @p handler gets no value if the owner is unknown or does not answer, or if the
    /// called node is not the owner.
    void callOwner(int partition, const PeerMessage &message, Handler handler);
    void setReceiver(const std::string &kind, std::function<void(const nlohmann::json &, const Responder &)> receive);
    void onCancel(const nlohmann::json &body, const Responder &respond);
    void onShow(const nlohmann::json &body, const Responder &respond);
    void onList(const nlohmann::json &body, const Responder &respond);
    void onExplain(const nlohmann::json &body, const Responder &respond);
    void cancelInStore(const JobId &job, const std::string &cancelledBy, const JobQueue::CancelHandler &handler);
    void listNext(const std::shared_ptr<Listing> &listing);
    void listStored(const std::shared_ptr<Listing> &listing);
    void listEnded(const std::shared_ptr<Listing> &listing);

    QueueContext *m_context;
    PartitionSet *m_partitions;
    JobSubmitter *m_submitter;
};

} // namespace fescueledge
