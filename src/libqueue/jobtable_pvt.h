#pragma once

#include "job_pvt.h"

#include <memory>
#include <unordered_map>

namespace fescueledge {

/// The jobs of one partition and the indices over them. Only these functions change the state of a task in memory.
class JobTable
{
public:
    /// Jobs of one team that have a task to offer, by order of acceptance.
    using TeamJobs = std::map<std::uint64_t, Job *>;
    using RunnableIndex = std::map<std::string, TeamJobs>;

    /// Adds a job with the blocks that were stored for it.
    Job *add(const JobId &id, const JobRecord &record, RowVersion version, std::map<int, Block> blocks, TimePoint now);
    Job *find(const JobId &id) const;
    void erase(const JobId &id);
    const std::unordered_map<JobId, std::unique_ptr<Job>> &all() const;

    /// Teams with jobs of class @p taskClass that have a task to offer.
    const RunnableIndex &runnable(TaskClass taskClass) const;
    /// Takes the next task of @p job to offer; its resources count as used by the team from now on.
    int takeForOffer(Job &job);
    /// Takes back an offer that was not claimed; the task may be offered again after @p delay.
    void requeueOffer(Job &job, int index, TimePoint notBefore);
    /// Offers nothing of @p job until @p notBefore.
    void backOff(Job &job, TimePoint notBefore);
    /// Makes tasks and jobs whose delay is over ready.
    void releaseDue(TimePoint now);

    /// Applies a durable change of one task. A task that is pending afterwards is ready at @p notBefore.
    void applyTask(Job &job, int index, const TaskRecord &next, TimePoint now, TimePoint notBefore);
    /// Applies the durable end of all tasks that do not run.
    void applyClose(Job &job, const JobRecord &next);
    /// Moves @p job into or out of the index of runnable jobs.
    void reindex(Job &job);

    /// What the claimed and offered tasks of each team need.
    const std::map<std::string, Resources> &usage() const;
    /// Jobs changed since the last call.
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
