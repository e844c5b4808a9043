#include "jobtable_pvt.h"

#include "fescueledge/invariant.h"

#include <utility>

namespace fescueledge {

namespace {

/// The effective state: a pending task of a closed job never runs and takes the end state of the job.
TaskState effectiveState(const Job &job, TaskState state)
{
    return state == TaskState::Pending && job.record.isClosed() ? job.record.rest : state;
}

void checkTransition(const Job &job, int index, const TaskRecord &now, const TaskRecord &next)
{
    const std::string ids = "task=" + taskId(job.id, index);
    assertInvariant(next.attempt >= now.attempt, Invariant::VersionMonotonic, ids);
    assertInvariant(!isTerminalState(now.state), Invariant::SingleAttempt, ids);
    const bool claims = next.state == TaskState::Claimed;
    assertInvariant(!claims || now.state == TaskState::Pending, Invariant::SingleAttempt, ids);
    assertInvariant(!claims || next.attempt == now.attempt + 1, Invariant::SingleAttempt, ids);
}

} // namespace

Job *JobTable::add(const JobId &id, const JobRecord &record, RowVersion version, std::map<int, Block> blocks,
                   TimePoint now)
{
    std::unique_ptr<Job> &slot = m_jobs[id];
    slot = std::make_unique<Job>();
    Job &job = *slot;
    job.id = id;
    job.record = record;
    job.version = version;
    job.blocks = std::move(blocks);
    job.loadedAt = now;
    if (job.record.order == 0) {
        job.record.order = version;
    }
    indexStoredTasks(job, now);
    if (record.isClosed()) {
        m_closed.insert(id);
    }
    m_changed.insert(id);
    reindex(job);
    return &job;
}

void JobTable::indexStoredTasks(Job &job, TimePoint now)
{
    if (!job.blocks.empty()) {
        job.firstNeverOffered = std::min(job.record.spec.taskCount, (job.blocks.rbegin()->first + 1) * tasksPerBlock);
    }
    for (int i = 0; i < job.firstNeverOffered; ++i) {
        const TaskRecord &task = job.task(i);
        adjustCount(job, effectiveState(job, task.state), 1);
        if (task.state == TaskState::Pending) {
            job.ready.insert(i);
        } else if (task.state == TaskState::Claimed) {
            job.attempts[i].lastConfirmed = now - std::chrono::hours(1);
            adjustUsage(job, 1);
        }
    }
    adjustCount(job, effectiveState(job, TaskState::Pending), job.record.spec.taskCount - job.firstNeverOffered);
}

Job *JobTable::find(const JobId &id) const
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : it->second.get();
}

void JobTable::erase(const JobId &id)
{
    Job *job = find(id);
    if (job == nullptr) {
        return;
    }
    job->isClosing = true;
    reindex(*job);
    for (std::size_t i = 0; i < job->counts.size(); ++i) {
        m_counts[i] -= job->counts[i];
    }
    m_closed.erase(id);
    m_changed.erase(id);
    m_jobs.erase(id);
}

const std::unordered_map<JobId, std::unique_ptr<Job>> &JobTable::all() const
{
    return m_jobs;
}

const JobTable::RunnableIndex &JobTable::runnable(TaskClass taskClass) const
{
    static const RunnableIndex none;
    const auto it = m_runnable.find(taskClass);
    return it == m_runnable.end() ? none : it->second;
}

int JobTable::takeForOffer(Job &job)
{
    const int index = job.popReady();
    adjustUsage(job, 1);
    return index;
}

void JobTable::requeueOffer(Job &job, int index, TimePoint notBefore)
{
    job.busy.erase(index);
    adjustUsage(job, -1);
    m_delayed.emplace(notBefore, Delayed{job.id, index});
    m_changed.insert(job.id);
}

void JobTable::backOff(Job &job, TimePoint notBefore)
{
    if (job.isBackingOff) {
        return;
    }
    job.isBackingOff = true;
    m_delayed.emplace(notBefore, Delayed{job.id, -1});
    reindex(job);
}

void JobTable::releaseDue(TimePoint now)
{
    while (!m_delayed.empty() && m_delayed.begin()->first <= now) {
        const Delayed due = m_delayed.begin()->second;
        m_delayed.erase(m_delayed.begin());
        Job *job = find(due.job);
        if (job == nullptr) {
            continue;
        }
        if (due.index < 0) {
            job->isBackingOff = false;
            reindex(*job);
        } else {
            makeReady(*job, due.index);
        }
    }
}

void JobTable::makeReady(Job &job, int index)
{
    const TaskRecord *task = job.findTask(index);
    const bool pending = task == nullptr || task->state == TaskState::Pending;
    if (pending && job.busy.count(index) == 0) {
        job.ready.insert(index);
        reindex(job);
    }
}

void JobTable::applyTask(Job &job, int index, const TaskRecord &next, TimePoint now, TimePoint notBefore)
{
    TaskRecord &task = job.task(index);
    checkTransition(job, index, task, next);
    const bool wasClaimed = task.state == TaskState::Claimed;
    adjustCount(job, effectiveState(job, task.state), -1);
    task = next;
    adjustCount(job, effectiveState(job, task.state), 1);
    job.busy.erase(index);
    if (wasClaimed) {
        adjustUsage(job, -1);
        job.attempts.erase(index);
    }
    if (task.state == TaskState::Claimed) {
        job.attempts[index].lastConfirmed = now - std::chrono::hours(1);
    } else if (task.state == TaskState::Pending) {
        m_delayed.emplace(notBefore, Delayed{job.id, index});
    }
    m_changed.insert(job.id);
}

void JobTable::applyClose(Job &job, const JobRecord &next)
{
    const int pending = job.count(TaskState::Pending);
    job.record = next;
    job.cancelRowVersion = 0;
    job.isClosing = false;
    adjustCount(job, TaskState::Pending, -pending);
    adjustCount(job, job.record.rest, pending);
    m_closed.insert(job.id);
    m_changed.insert(job.id);
    reindex(job);
}

void JobTable::reindex(Job &job)
{
    RunnableIndex &index = m_runnable[job.record.spec.taskClass];
    if (job.hasReady()) {
        index[job.record.spec.team][job.record.order] = &job;
        return;
    }
    const auto it = index.find(job.record.spec.team);
    if (it == index.end()) {
        return;
    }
    const auto found = it->second.find(job.record.order);
    if (found != it->second.end() && found->second == &job) {
        it->second.erase(found);
    }
    if (it->second.empty()) {
        index.erase(it);
    }
}

const std::map<std::string, Resources> &JobTable::usage() const
{
    return m_usage;
}

std::set<JobId> JobTable::takeChanged()
{
    return std::exchange(m_changed, {});
}

void JobTable::markChanged(const JobId &id)
{
    m_changed.insert(id);
}

const std::set<JobId> &JobTable::closed() const
{
    return m_closed;
}

std::size_t JobTable::pendingTasks() const
{
    return static_cast<std::size_t>(m_counts[static_cast<std::size_t>(TaskState::Pending)]);
}

std::size_t JobTable::claimedTasks() const
{
    return static_cast<std::size_t>(m_counts[static_cast<std::size_t>(TaskState::Claimed)]);
}

void JobTable::adjustCount(Job &job, TaskState state, int delta)
{
    job.counts[static_cast<std::size_t>(state)] += delta;
    m_counts[static_cast<std::size_t>(state)] += delta;
}

void JobTable::adjustUsage(const Job &job, int delta)
{
    Resources &usage = m_usage[job.record.spec.team];
    if (delta > 0) {
        usage += job.record.spec.resources;
        return;
    }
    usage -= job.record.spec.resources;
    if (usage == Resources()) {
        m_usage.erase(job.record.spec.team);
    }
}

} // namespace fescueledge
