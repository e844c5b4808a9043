#pragma once

#include "entities_pvt.h"

#include <functional>
#include <unordered_map>

namespace fescueledge::workflow {

/// All accepted jobs that are known, and the rules of how tasks, steps, occurrences and jobs go on.
class JobTable
{
public:
    /// Adds a job unless it is there; returns it. @p now and @p wall are the same moment on both clocks.
    Job *add(const JobId &id, const WorkflowSpec &spec, const QueuePolicy &policy, WallTime acceptedAt, TimePoint now,
             WallTime wall);
    Job *find(const JobId &id) const;
    /// The task with @p key, or nullptr if its job, occurrence, step or index is not there.
    Task *findTask(const TaskKey &key) const;
    void erase(const JobId &id);

    /// Opens the occurrences of @p job that are due at @p wall.
    void openDueOccurrences(Job *job, WallTime wall);
    /// Opens due occurrences of all jobs; call it often enough for occurrences to start in time.
    void openAllDueOccurrences(WallTime wall);

    /// Moves @p task to Idle; its step is listed again if it is open.
    void setIdle(Task *task);
    void setPhase(Task *task, TaskPhase phase, TimePoint now);
    /// Counts @p task as done; opens the steps that waited for it, and may complete its job.
    void setDone(Task *task, TimePoint now, WallTime wall);
    /// Counts failed run @p run, unless it is counted already; the job has failed when its attempts are used up.
    void countFailure(Task *task, RunNumber run, TimePoint now);
    /// Ends the job in @p phase. Its tasks keep their phases; the caller stops them.
    void end(Job *job, JobPhase phase, TimePoint now);
    /// Frees what an ended job no longer needs, once none of its tasks is on a worker.
    static void releaseEndedJob(Job *job);

    /// Open steps with idle tasks. Entries that no longer fit are dropped by prune().
    std::vector<Step *> &openSteps()
    {
        return m_openSteps;
    }
    void pruneOpenSteps();

    /// Marks @p job to be written.
    void markDirty(Job *job);
    /// Takes up to @p limit jobs that are to be written.
    std::vector<Job *> takeDirty(std::size_t limit);
    bool hasDirty() const
    {
        return !m_dirty.empty();
    }

    /// The progress of @p job as the value of its row, and back.
    static std::string encodeProgress(const Job &job);
    /// Applies a row's value to a job just added. @throws nlohmann::json::exception if it can't be read.
    void applyProgress(Job *job, const std::string &value, TimePoint now, WallTime wall);

    /// Accepted jobs of queue @p queue of which no task has started; without those that run at several times.
    std::size_t pending(const std::string &queue) const;

    const std::unordered_map<JobId, std::unique_ptr<Job>> &all() const
    {
        return m_jobs;
    }

private:
    Occurrence *openOccurrence(Job *job, std::uint32_t number);
    void openStep(Step *step);
    void listStep(Step *step);
    void finishOccurrence(Occurrence *occurrence, TimePoint now, WallTime wall);

    std::unordered_map<JobId, std::unique_ptr<Job>> m_jobs;
    std::uint64_t m_stepsCreated = 0;
    std::vector<Step *> m_openSteps;
    std::vector<Job *> m_dirty;
    std::set<Job *> m_jobsWithFutureOccurrences; ///< Jobs with occurrences still to be opened.
};

} // namespace fescueledge::workflow
