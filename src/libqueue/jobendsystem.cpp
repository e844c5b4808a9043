#include "jobendsystem_pvt.h"

#include "fescueledge/authority.h"
#include "fescueledge/controlstate.h"
#include "fescueledge/loop.h"

#include "capacitytable_pvt.h"
#include "partitionset_pvt.h"
#include "queuecontext_pvt.h"
#include "queuepartition_pvt.h"

#include <glog/logging.h>

namespace fescueledge {

namespace {

constexpr Milliseconds neverRunnableCheckInterval{1000};
/// A job is not closed as never runnable before it was loaded for this long.
constexpr Milliseconds minimumJobAge{10000};

} // namespace

JobEndSystem::JobEndSystem(QueueContext *context, PartitionSet *partitions, const CapacityTable *capacity)
    : m_context(context)
    , m_partitions(partitions)
    , m_capacity(capacity)
{
}

void JobEndSystem::tick()
{
    const TimePoint now = m_context->loop->now();
    const bool isCheckDue = now - m_lastCheck >= neverRunnableCheckInterval;
    for (const std::shared_ptr<QueuePartition> &it : m_partitions->active()) {
        archiveSettled(*it);
        if (isCheckDue) {
            closeNeverRunnable(*it);
        }
        it->rescan();
    }
    if (isCheckDue) {
        m_lastCheck = now;
    }
}

void JobEndSystem::archiveSettled(QueuePartition &partition)
{
    for (const JobId &id : partition.jobs().takeChanged()) {
        Job *job = partition.jobs().find(id);
        if (job == nullptr || job->isClosing || !job->isSettled()) {
            continue;
        }
        Change change;
        change.kind = Change::Kind::Archive;
        change.job = id;
        if (!partition.writer().stage(std::move(change))) {
            partition.jobs().markChanged(id);
            continue;
        }
        job->isClosing = true;
    }
}

void JobEndSystem::closeNeverRunnable(QueuePartition &partition)
{
    for (const auto &[id, job] : partition.jobs().all()) {
        const bool isWaiting = job->count(TaskState::Pending) > 0 && !job->isClosing && !job->record.isClosed();
        if (isWaiting && isNeverRunnable(*job)) {
            LOG(WARNING) << "job_never_runnable job=" << id << " pool=" << job->record.spec.pool;
            partition.close(*job, TaskState::NeverRunnable, "",
                            "no worker of the pool could hold a task, even if empty", nullptr);
        }
    }
}

bool JobEndSystem::isNeverRunnable(const Job &job) const
{
    const TimePoint now = m_context->loop->now();
    if (now - job.loadedAt < minimumJobAge) {
        return false;
    }
    const JobSpec &spec = job.record.spec;
    if (!m_capacity->hasSeenPool(spec.pool)) {
        const std::shared_ptr<const ControlState> control = m_context->authority->control();
        return m_capacity->hasSeenPool("") && control->version > 0 && control->findPool(spec.pool) == nullptr;
    }
    return !m_capacity->mayEverFit(spec.pool, spec.resources, now);
}

} // namespace fescueledge
