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

/// Moves attempts through their phases: by what workers report, and by time.
class AttemptSystem
{
public:
    AttemptSystem(WorkerContext *context, QuarantineSystem *quarantine);

    /// Takes in a reply under the row's own epoch.
    void applyReply(WorkerRow *worker, const WorkerReply &reply);
    /// Drops holds that lapsed, refuses starts that can't happen any more, and ends attempts of lost workers.
    void run();
    /// Ends @p row with @p state and @p detail.
    void end(AttemptRow *row, TaskReport::State state, const std::string &detail, bool workerLost);
    /// Records that an attempt that this node does not know is over, for the report to its queue owner.
    void endUnknown(const WorkerRow &worker, const TaskId &task, Attempt attempt, Epoch claimEpoch);
    /// The same for an attempt on a worker that has no row, in a rack that this node owns.
    void endOnUnlistedWorker(const WorkerId &worker, const ShardId &shard, const TaskId &task, Attempt attempt);
    /// True if no task started under a message of this or an earlier owner can run on @p worker any more.
    bool leasesExpired(const WorkerRow &worker) const;
    /// True if start commands may be sent to @p worker.
    bool mayStart(const WorkerRow &worker) const;

private:
    void applyReport(const WorkerRow &worker, const TaskReport &report);
    /// Returns nullptr if the report is of no use.
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
