#pragma once

#include "fescueledge/row.h"

#include "jobrecord_pvt.h"

#include <map>
#include <set>

namespace fescueledge {

/// One block in memory: the tasks and the version of their row, 0 if it was never written.
struct Block
{
    RowVersion version = 0;
    std::vector<TaskRecord> tasks;
};

/// Volatile state of a claimed attempt.
struct LiveAttempt
{
    NodeId confirmedBy; ///< Rack owner that last answered the start.
    TimePoint lastStartSent; ///< When a start was last sent.
    TimePoint lastConfirmed; ///< When it was last reported running, or the start was answered.
    bool isRunning = false; ///< A worker reported that it runs.
};

/// One job of a partition that this node owns.
struct Job
{
    JobId id;
    JobRecord record;
    RowVersion version = 0; ///< Version of the job row.
    RowVersion cancelRowVersion = 0; ///< Version of the row that requests cancellation; 0 for none.
    std::map<int, Block> blocks; ///< Blocks with a task that was offered or claimed.
    std::array<int, taskStateCount> counts{}; ///< Tasks by state.

    int firstNeverOffered = 0; ///< Tasks from this index on were never offered.
    std::set<int> ready; ///< Pending tasks below firstNeverOffered that may be offered now.
    std::set<int> busy; ///< Tasks with an open offer or a staged change.
    std::map<int, LiveAttempt> attempts; ///< Attempts of the claimed tasks, by task index.
    bool isClosing = false; ///< A change of the job row is staged; nothing new is offered.
    bool isBackingOff = false; ///< Nothing is offered until the delay is over.
    int consecutiveRefusals = 0;
    TimePoint loadedAt; ///< When this node loaded the job.
    TimePoint lastStopSent; ///< When a stop was last sent for its running tasks.
    NodeId lastRefusedBy; ///< Node that refused last; it may be evicting for the job.
    std::map<NodeId, std::string> refusals; ///< Last refusal of each node.
    std::string waitReason; ///< What its next task last waited for; empty after an offer.

    int count(TaskState state) const;
    TaskRecord &task(int index);
    const TaskRecord *findTask(int index) const;
    /// Creates the block of task @p index in memory if it does not exist.
    Block &ensureBlock(int index);
    bool hasReady() const;
    /// Removes the next task to offer from the ready ones and marks it busy. Requires hasReady().
    int popReady();
    bool isSettled() const;
    JobStatus status() const;
    /// Builds the offer of the next attempt of task @p index.
    TaskOffer offer(int index) const;
    const std::string &payload(int index) const;
};

/// Decodes the block rows @p rows, grouped by job.
std::map<JobId, std::map<int, Block>> groupBlocks(const std::vector<Row> &rows);

} // namespace fescueledge
