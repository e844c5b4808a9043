#pragma once

#include "fescueledge/taskreport.h"
#include "fescueledge/types.h"
#include "workertable_pvt.h"

#include <set>
#include <string>

namespace fescueledge {

class QuarantineSystem;
struct WorkerContext;
struct WorkerReply;

/// Advances attempts through their phases, driven by worker reports and by time.
class AttemptSystem
{
public:
    AttemptSystem(WorkerContext *context, QuarantineSystem *quarantine);

    /// Applies a reply that @p worker gave under the epoch of its row.
    void applyReply(WorkerRow *worker, const WorkerReply &reply);
    /// Drops expired holds, refuses starts that can no longer happen, and ends attempts on lost workers.
    void run();
    /// Ends @p row with @p state and @p detail.
    void end(AttemptRow *row, TaskReport::State state, const std::string &detail, bool workerLost);
    /// Records the end of an attempt that has no row on this node, so that it is reported to its queue owner.
    void endUnknown(const WorkerRow &worker, const TaskId &task, Attempt attempt, Epoch claimEpoch);
    /// Same as endUnknown(), for a worker that has no row but belongs to a rack that this node owns.
    void endOnUnlistedWorker(const WorkerId &worker, const ShardId &shard, const TaskId &task, Attempt attempt);
    /// True if no task that this or an earlier owner started can still be running on @p worker.
    bool leasesExpired(const WorkerRow &worker) const;
    /// True if start commands may be sent to @p worker.
    bool mayStart(const WorkerRow &worker) const;

private:
    void applyReport(const WorkerRow &worker, const TaskReport &report);
    /// Adds a row for a reported attempt. Returns nullptr for the terminal report of an attempt whose row is on another
    /// worker.
    AttemptRow *adopt(const WorkerRow &worker, const TaskReport &report);
    void handleUnreported(const WorkerRow &worker, AttemptRow *row);
    void addEnded(const WorkerId &worker, const ShardId &shard, const AttemptKey &key, TaskReport::State state,
                  const std::string &detail);
    void removeOrphans();
    void updateAttemptsOn(const WorkerRow &worker);
    void expireWaiting(const WorkerRow &worker, AttemptRow *row);

    WorkerContext *m_context;
    QuarantineSystem *m_quarantine;
};

} // namespace fescueledge
