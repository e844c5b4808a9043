#pragma once

#include "entities_pvt.h"

#include <functional>
#include <unordered_map>

namespace fescueledge::workflow {

/// All known accepted jobs, and the state transitions of tasks, steps, occurrences and jobs.
class JobTable
{
public:
    /// Adds a job unless it exists, and returns it. @p now and @p wall are the same moment on both clocks.
    Job *add(const JobId &id, const WorkflowSpec &spec, const QueuePolicy &policy, WallTime acceptedAt, TimePoint now,
             WallTime wall);
    Job *find(const JobId &id) const;
    /// The task with @p key, or nullptr if its job, occurrence, step or index does not exist.
    Task *findTask(const TaskKey &key) const;
    void erase(const JobId &id);

    /// Opens the occurrences of @p job that are due at @p wall.
    void openDueOccurrences(Job *job, WallTime wall);
    /// Opens due occurrences of all jobs. Must be called often enough for occurrences to start in time.
    void openAllDueOccurrences(WallTime wall);

    /// Moves @p task to Idle; if its step is open, it is added to openSteps() again.
    void setIdle(Task *task);
    void setPhase(Task *task, TaskPhase phase, TimePoint now);
    /// Marks @p task as done, opens the steps that depended on it, and may complete its job.
    void setDone(Task *task, TimePoint now, WallTime wall);
    /// Counts failed run @p run, unless it is already counted; the job fails when the attempts of the task are used up.
    void countFailure(Task *task, RunNumber run, TimePoint now);
    /// Adds @p run to the crashed runs of @p task; returns false if it is there already.
    bool countCrash(Task *task, const CrashedRun &run);
    /// Removes run @p run from the crashed runs of @p task, or all of them; returns false if there is none.
    bool retractCrash(Task *task, RunNumber run);
    bool clearCrashes(Task *task);
    /// Ends the job in @p phase. Its tasks keep their phases; the caller stops them.
    void end(Job *job, JobPhase phase, TimePoint now);
    /// Frees the tables and the payload of an ended job, once none of its tasks is on a worker.
    static void releaseEndedJob(Job *job);

    /// Open steps with idle tasks. Entries that no longer qualify are dropped by pruneOpenSteps().
    std::vector<Step *> &openSteps()
    {
        return m_openSteps;
    }
    void pruneOpenSteps();

    /// Marks the progress of @p job to be written.
    void markDirty(Job *job);
    /// Removes and returns up to @p limit jobs whose progress is to be written.
    std::vector<Job *> takeDirty(std::size_t limit);
    bool hasDirty() const
    {
        return !m_dirty.empty();
    }

    /// Whether a progress row names the checkpoints. Without them, tasks start again from their beginning.
    enum class Checkpoints { Included, LeftOut };
    /// The progress of @p job as the value of its row, and back.
    static std::string encodeProgress(const Job &job, Checkpoints with = Checkpoints::Included);
    /// Applies a row's value to a newly added job. @throws nlohmann::json::exception if it can't be read.
    void applyProgress(Job *job, const std::string &value, TimePoint now, WallTime wall);

    /// Number of accepted jobs of queue @p queue of which no task has started, not counting jobs with several
    /// occurrences.
    std::size_t pending(const std::string &queue) const;

    const std::unordered_map<JobId, std::unique_ptr<Job>> &all() const
    {
        return m_jobs;
    }

private:
    Occurrence *openOccurrence(Job *job, std::uint32_t number);
    void openStep(Step *step);
    void listStep(Step *step);
    /// Replaces the crashed runs of @p task.
    void setCrashes(Task *task, std::vector<CrashedRun> crashes);
    void finishOccurrence(Occurrence *occurrence, TimePoint now, WallTime wall);

    std::unordered_map<JobId, std::unique_ptr<Job>> m_jobs;
    std::uint64_t m_stepsCreated = 0;
    std::vector<Step *> m_openSteps;
    std::vector<Job *> m_dirty;
    std::set<Job *> m_jobsWithFutureOccurrences; ///< Jobs with occurrences still to be opened.
};

} // namespace fescueledge::workflow
