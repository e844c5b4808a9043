#pragma once

#include "fescueledge/dispatchmessages.h"
#include "fescueledge/random.h"
#include "fescueledge/testing/memorytable.h"
#include "fescueledge/testing/simworld.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fescueledge {

/// The workers of a simulated fleet: the ground truth of what runs where, and the violations that they recorded.
class FakeWorkers
{
public:
    /// An attempt on a worker, until its outcome is acknowledged.
    struct Run
    {
        TaskOffer offer;
        TaskReport report;
        TimePoint startedAt;
        TimePoint endsAt;
        std::int64_t initialWork = 0; ///< Milliseconds of work in the checkpoint that it started from.
    };
    struct Worker
    {
        WorkerId id;
        ShardId rack;
        Resources size;
        bool up = true;
        std::map<TaskId, std::map<Attempt, Run>> runs;
    };

    /// An attempt that was on a lost worker.
    struct Loss
    {
        WorkerId worker;
        ShardId rack;
        bool reportedUnprompted = false; ///< The rack owner reports it without being asked.
    };

    FakeWorkers(SimWorld *world, const MemoryTable *rows, std::uint64_t seed);

    void add(const WorkerId &id, const ShardId &rack, const Resources &size);
    /// Starts an attempt. Records a violation if the task runs elsewhere or the store has no such claim.
    void start(Worker &worker, const TaskOffer &offer);
    void stop(Worker &worker, const TaskId &task, Attempt attempt, bool checkpoint);
    /// Removes an attempt after the queue owner answered that its report is durable or obsolete.
    void acknowledge(Worker &worker, const TaskId &task, Attempt attempt);
    void lose(const WorkerId &id);
    void restore(const WorkerId &id);
    Resources used(const Worker &worker) const;

    std::map<WorkerId, Worker> workers;
    std::vector<std::string> violations; ///< Violated guarantees.
    std::map<TaskId, TimePoint> firstStart;
    std::map<TaskId, std::set<Attempt>> finishedRuns; ///< Attempts that ended with success.
    std::map<TaskId, std::size_t> lostFinishes; ///< How many of these were lost with their worker.
    std::map<std::pair<TaskId, Attempt>, Loss> losses;
    std::uint64_t starts = 0;
    std::uint64_t resumes = 0; ///< Starts from a checkpoint.
    Milliseconds taskDuration{500}; ///< Running time of one task.
    double failChance = 0;
    bool checkClaims = true;

private:
    struct Checkpoints
    {
        std::string resumed; ///< Checkpoint that the last attempt started from.
        std::string saved; ///< Checkpoint that the last attempt saved on eviction.
        bool saveMayBeLost = false; ///< The worker was lost before the report was known to be durable.
    };

    void addViolation(const std::string &what, const TaskId &task);
    void checkClaim(const Worker &worker, const TaskOffer &offer);
    void checkCheckpoint(const TaskOffer &offer);
    void end(const WorkerId &id, const TaskId &task, Attempt attempt);

    SimWorld *m_world;
    const MemoryTable *m_rows;
    Random m_random;
    std::map<TaskId, WorkerId> m_running;
    std::map<TaskId, std::set<Attempt>> m_started;
    std::map<TaskId, Checkpoints> m_checkpoints;
};

} // namespace fescueledge
