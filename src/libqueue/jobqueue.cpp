#include "fescueledge/jobqueue.h"

#include "fescueledge/loop.h"
#include "fescueledge/peertransport.h"

#include "capacitytable_pvt.h"
#include "dispatchsystem_pvt.h"
#include "jobdirectory_pvt.h"
#include "jobendsystem_pvt.h"
#include "jobsubmitter_pvt.h"
#include "outcomesystem_pvt.h"
#include "partitionset_pvt.h"
#include "queuecontext_pvt.h"
#include "queuepartition_pvt.h"
#include "startsystem_pvt.h"
#include "teamusage_pvt.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace fescueledge {

namespace {

constexpr Milliseconds tickInterval{25};

} // namespace

/// The tables of the queue and the systems that process them each tick.
class JobQueue::Private
{
public:
    Private(Loop *loop, TableService *table, PeerTransport *transport, Authority *authority, std::uint64_t seed,
            const QueuePolicy &policy)
        : context(loop, table, transport, authority, seed, policy)
        , dispatch(&context, &partitions, &usage, &capacity, [this](const JobId &job, int index) {
            starts.enqueue(job, index);
        })
    {
    }

    void start();
    void tick();

    QueueContext context;
    PartitionSet partitions{&context};
    CapacityTable capacity;
    TeamUsageSystem usage{&context, &partitions};
    StartSystem starts{&context, &partitions};
    DispatchSystem dispatch;
    OutcomeSystem outcomes{&context, &partitions, &capacity};
    JobEndSystem ends{&context, &partitions, &capacity};
    JobSubmitter submitter{&context, &partitions};
    JobDirectory directory{&context, &partitions, &submitter};
};

void JobQueue::Private::start()
{
    context.transport->setReceiver(
        "capacity", [this](const NodeId &from, const PeerMessage &message, const PeerTransport::Responder &respond) {
            capacity.update(from, message.body.get<CapacityNotice>(), context.loop->now());
            respond(PeerMessage{"capacity", nlohmann::json::object()});
        });
    usage.start();
    outcomes.start();
    submitter.start();
    directory.start();
    tick();
}

void JobQueue::Private::tick()
{
    partitions.refresh();
    usage.tick();
    dispatch.tick();
    ends.tick();
    partitions.flush();
    starts.tick();
    context.loop->postAfter(tickInterval, [this] {
        tick();
    });
}

JobQueue::JobQueue(Loop *loop, TableService *table, PeerTransport *transport, Authority *authority, std::uint64_t seed,
                   const QueuePolicy &policy)
    : m_private(std::make_unique<Private>(loop, table, transport, authority, seed, policy))
{
}

JobQueue::~JobQueue() = default;

void JobQueue::start()
{
    m_private->start();
}

void JobQueue::submit(const JobSpec &spec, SubmitHandler handler)
{
    m_private->submitter.submit(spec, std::move(handler));
}

void JobQueue::cancel(const JobId &job, const std::string &who, CancelHandler handler)
{
    m_private->directory.cancel(job, who, std::move(handler));
}

void JobQueue::show(const JobId &job, ShowHandler handler)
{
    m_private->directory.show(job, std::move(handler));
}

void JobQueue::list(const JobFilter &filter, ListHandler handler)
{
    m_private->directory.list(filter, std::move(handler));
}

void JobQueue::explain(const TaskId &task, ExplainHandler handler)
{
    m_private->directory.explain(task, std::move(handler));
}

QueueCounters JobQueue::counters() const
{
    QueueCounters counters = m_private->context.counters;
    for (const std::shared_ptr<QueuePartition> &it : m_private->partitions.active()) {
        counters.openJobs += it->jobs().all().size();
        counters.pendingTasks += it->jobs().pendingTasks();
        counters.claimedTasks += it->jobs().claimedTasks();
    }
    return counters;
}

} // namespace fescueledge
