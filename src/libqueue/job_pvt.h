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

/// What is known of a claimed attempt that is not durable.
struct LiveAttempt
{
    NodeId confirmedBy; ///< Rack owner that answered the start.
    TimePoint lastStartSent; ///< When a start was last sent.
    TimePoint lastConfirmed; ///< When it was last said to run, or the start was answered.
    bool isRunning = false; ///< A worker said that it runs.
};

/// One job of a partition that this node owns.
struct Job
{
    JobId id;
    JobRecord record;
    RowVersion version = 0; ///< Version of the job row.
    RowVersion cancelRowVersion = 0; ///< Version of the row that asks to cancel the job; 0 for none.
    std::map<int, Block> blocks; ///< Blocks with a task that was offered or claimed.
    std::array<int, taskStateCount> counts{}; ///< Tasks by state.

    int firstNeverOffered = 0; ///< Tasks from this index on were never offered.
    std::set<int> ready; ///< Pending tasks below nextFresh that may be offered now.
    std::set<int> busy; ///< Tasks that are offered or that a change is staged for.
    std::map<int, LiveAttempt> attempts; ///< Claimed tasks.
    bool isClosing = false; ///< A change of the job row is staged; nothing new is offered.
    bool isBackingOff = false; ///< Nothing is offered until the delay is over.
    int consecutiveRefusals = 0;
    TimePoint loadedAt; ///< When this node first saw the job.
    TimePoint lastStopSent; ///< When its running tasks were last told to stop.
    NodeId lastRefusedBy; ///< Node that refused last; it may be making room.
    std::map<NodeId, std::string> refusals; ///< Last refusal of each node.
    std::string waitsFor; ///< What the order last held it back for.

    int count(TaskState state) const;
    TaskRecord &task(int index);
    const TaskRecord *findTask(int index) const;
    /// Makes the block of @p index exist in memory.
    Block &ensureBlock(int index);
    bool hasReady() const;
    /// Takes the next task to offer and marks it busy; only if hasReady().
    int popReady();
    bool isSettled() const;
    JobStatus status() const;
    /// The offer of the next attempt of task @p index.
    TaskOffer offer(int index) const;
    const std::string &payload(int index) const;
};

/// The blocks in @p rows, of each job.
std::map<JobId, std::map<int, Block>> groupBlocks(const std::vector<Row> &rows);

} // namespace fescueledge
