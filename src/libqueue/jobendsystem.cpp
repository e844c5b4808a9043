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

constexpr Milliseconds neverRunnableCheckPeriod{1000};
/// A job is not called unrunnable before it was here for so long.
constexpr Milliseconds minimumAge{10000};

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
    const bool check = now - m_lastCheck >= neverRunnableCheckPeriod;
    for (const std::shared_ptr<QueuePartition> &it : m_partitions->acting()) {
        archiveSettled(*it);
        if (check) {
            closeNeverRunnable(*it);
        }
        it->rescan();
    }
    if (check) {
        m_lastCheck = now;
    }
}

void JobEndSystem::archiveSettled(QueuePartition &partition)
{
    for (const JobId &id : partition.jobs().takeTouched()) {
        Job *job = partition.jobs().find(id);
        if (job == nullptr || job->closing || !job->isSettled()) {
            continue;
        }
        Change change;
        change.kind = Change::Kind::Archive;
        change.job = id;
        if (!partition.writer().stage(std::move(change))) {
            partition.jobs().touch(id);
            continue;
        }
        job->closing = true;
    }
}

void JobEndSystem::closeNeverRunnable(QueuePartition &partition)
{
    for (const auto &[id, job] : partition.jobs().all()) {
        const bool waits = job->count(TaskState::Pending) > 0 && !job->closing && !job->record.isClosed();
        if (waits && neverRunnable(*job)) {
            LOG(WARNING) << "job_never_runnable job=" << id << " pool=" << job->record.spec.pool;
            partition.close(*job, TaskState::NeverRunnable, "",
                            "no worker of the pool could hold a task, even if empty", nullptr);
        }
    }
}

bool JobEndSystem::neverRunnable(const Job &job) const
{
    const TimePoint now = m_context->loop->now();
    if (now - job.loadedAt < minimumAge) {
        return false;
    }
    const JobSpec &spec = job.record.spec;
    if (!m_capacity->knowsPool(spec.pool)) {
        const std::shared_ptr<const ControlState> control = m_context->authority->control();
        return m_capacity->knowsPool("") && control->version > 0 && control->findPool(spec.pool) == nullptr;
    }
    return !m_capacity->couldEverHold(spec.pool, spec.resources, now);
}

} // namespace fescueledge
