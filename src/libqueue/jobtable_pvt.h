#pragma once

#include "job_pvt.h"

#include <memory>
#include <unordered_map>

namespace fescueledge {

/// The jobs of one partition and their indexes. Only these functions change the state of a task in memory.
class JobTable
{
public:
    /// Jobs of one team that have a task to offer, by order of acceptance.
    using TeamJobs = std::map<std::uint64_t, Job *>;
    using RunnableIndex = std::map<std::string, TeamJobs>;

    /// Adds a job with its stored blocks.
    Job *add(const JobId &id, const JobRecord &record, RowVersion version, std::map<int, Block> blocks, TimePoint now);
    Job *find(const JobId &id) const;
    void erase(const JobId &id);
    const std::unordered_map<JobId, std::unique_ptr<Job>> &all() const;

    /// Teams with jobs of class @p taskClass that have a task to offer.
    const RunnableIndex &runnable(TaskClass taskClass) const;
    /// Returns the next task of @p job to offer and counts its resources as used by the team.
    int takeForOffer(Job &job);
    /// Withdraws an offer that was not claimed; the task may be offered again at @p notBefore.
    void requeueOffer(Job &job, int index, TimePoint notBefore);
    /// Suspends offers of @p job until @p notBefore.
    void backOff(Job &job, TimePoint notBefore);
    /// Makes the tasks and jobs ready whose delay is over.
    void releaseDue(TimePoint now);

    /// Applies a durable change of one task. A task that becomes pending is ready at @p notBefore.
    void applyTask(Job &job, int index, const TaskRecord &next, TimePoint now, TimePoint notBefore);
    /// Applies a durable close of @p job, which ends all tasks that are not running.
    void applyClose(Job &job, const JobRecord &next);
    /// Adds @p job to the index of runnable jobs, or removes it if it has no task to offer.
    void reindex(Job &job);

    /// Resources of the claimed and offered tasks of each team.
    const std::map<std::string, Resources> &usage() const;
    /// Returns the jobs that changed since the last call.
    std::set<JobId> takeChanged();
    void markChanged(const JobId &id);
    /// Closed jobs that are still in memory.
    const std::set<JobId> &closed() const;

    std::size_t pendingTasks() const;
    std::size_t claimedTasks() const;

private:
    struct Delayed
    {
        JobId job;
        int index = -1; ///< -1 for the job itself.
    };

    void indexStoredTasks(Job &job, TimePoint now);
    void adjustCount(Job &job, TaskState state, int delta);
    void adjustUsage(const Job &job, int delta);
    void makeReady(Job &job, int index);

    std::unordered_map<JobId, std::unique_ptr<Job>> m_jobs;
    std::map<TaskClass, RunnableIndex> m_runnable;
    std::multimap<TimePoint, Delayed> m_delayed;
    std::map<std::string, Resources> m_usage;
    std::set<JobId> m_changed;
    std::set<JobId> m_closed;
    std::array<std::int64_t, taskStateCount> m_counts{};
};

} // namespace fescueledge
