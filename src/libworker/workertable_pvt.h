#pragma once

#include "fescueledge/dispatchmessages.h"
#include "fescueledge/types.h"
#include "fescueledge/vmentry.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace fescueledge {

struct ControlState;

/// One worker of a rack that this node owns.
struct WorkerRow
{
    VmEntry vm;
    ShardId shard;
    Epoch epoch = 0; ///< Epoch under which this node owns the rack.
    std::string pool;
    bool vmRemoved = false; ///< The VM is no longer in the VM list.
    bool adopted = false; ///< The worker has reported under `epoch` what it runs.
    TimePoint acquiredAt; ///< When this node first observed that it owns the rack under `epoch`.

    std::uint64_t generation = 0; ///< Distinguishes this row from earlier rows of the same worker.
    bool exchangePending = false; ///< An exchange is waiting for its reply.
    bool exchangeRequested = false; ///< Exchange without waiting for the interval, for example to send commands.
    TimePoint lastSend;
    TimePoint lastReply;
    bool clockKnown = false;
    Milliseconds clock{0}; ///< The worker's clock as of the last reply.
    TimePoint clockReceivedAt; ///< When that reply was received.
    TimePoint renewalDeadline; ///< The worker accepts none of the renewals sent so far after this time.

    std::uint64_t replyCount = 0; ///< Replies received under `epoch`.
    Resources used; ///< Measured usage, reported with a delay.
    Milliseconds serviceP99{0}; ///< Measured, reported with a delay.
    int inheritedRequests = 0; ///< Requests from earlier owners that may still be in progress.
    double carry = 0; ///< Accumulated weight for the weight-and-carry strategy.

    TaskId earmarkedFor; ///< Latency-critical task for which capacity is being freed.
    TimePoint earmarkedUntil;

    TimePoint lastInterferenceAction; ///< Last action of interference control.
    TimePoint throttledSince; ///< When the last batch attempt was fully throttled; only valid if `allThrottled`.
    bool allThrottled = false;

    bool isLeaving() const;
};

/// An attempt that is held, starting or running, or that has ended and is not yet removed.
struct AttemptRow
{
    enum class Phase {
        Held, ///< Capacity is reserved until `holdUntil`.
        Starting, ///< Claimed; the start command is repeated until the worker reports the attempt.
        Running,
        Ended, ///< Terminal; uses no capacity.
    };

    TaskId task;
    Attempt attempt = 0;
    WorkerId worker;
    ShardId shard;
    Epoch epoch = 0;
    Phase phase = Phase::Held;
    TaskOffer offer;
    Resources allocation; ///< Resources committed to it, and the limit that the worker enforces.
    TimePoint holdUntil;
    Milliseconds startBefore{0}; ///< Latest start-before time sent with its start command; 0 if never sent.
    TimePoint startedAt;
    double cpuShare = 1; ///< Share of its processors that it should get.
    double appliedCpuShare = 1; ///< Share that the worker acknowledged.
    bool checkpointRequested = false;
    bool stopRequested = false;
    bool isStillRunning = false; ///< Ended for the scheduler, but the worker reports it as running.
    TaskReport report; ///< The last report.
    bool workerLost = false;
    TimePoint reportedAt; ///< When it was last reported to the queue owner.
    bool settled = false; ///< The queue owner has made the end durable.

    bool usesCapacity() const;
    bool isBatch() const;
};

using AttemptKey = std::pair<TaskId, Attempt>;

/// Returns the label that a worker repeats in its reports. It holds the class and the kind of an attempt, so that the
/// next owner of the rack can restore them.
std::string attemptLabel(const TaskOffer &offer);
/// Sets class and kind of @p offer from @p label. An unknown label counts as latency-critical, which is never evicted.
void parseAttemptLabel(const std::string &label, TaskOffer &offer);

/// The workers of this node's racks and the attempts on them.
class WorkerTables
{
public:
    std::map<WorkerId, WorkerRow> workers;
    std::map<AttemptKey, AttemptRow> attempts;

    WorkerRow *findWorker(const WorkerId &worker);
    AttemptRow *findAttempt(const TaskId &task, Attempt attempt);
    /// Adds @p row and returns it, or returns the existing row with the same key.
    AttemptRow &addAttempt(const AttemptRow &row);
    /// Removes the row. If the attempt had ended, endedRecently() reports it for a while.
    void removeAttempt(const AttemptKey &key, TimePoint now);
    /// Removes @p worker and its attempts; endedRecently() does not report them.
    void removeWorker(const WorkerId &worker);
    /// True if the attempt ended here and was removed recently.
    bool endedRecently(const AttemptKey &key) const;
    /// Drops records of ended attempts that are too old for a queue owner to ask about.
    void expireRecentlyEnded(TimePoint now);

    /// Keys of the attempts on @p worker, ordered.
    std::vector<AttemptKey> keysOn(const WorkerId &worker) const;
    /// The attempts on @p worker, ordered by key.
    std::vector<AttemptRow *> attemptsOn(const WorkerId &worker);
    std::vector<const AttemptRow *> attemptsOn(const WorkerId &worker) const;
    /// Resources allocated to running, starting and held attempts on @p worker.
    Resources committed(const WorkerId &worker) const;
    /// Resources left on @p worker for an attempt of class @p taskClass.
    Resources available(const WorkerRow &worker, TaskClass taskClass, const ControlState &control) const;

private:
    std::map<WorkerId, std::map<AttemptKey, AttemptRow *>> m_byWorker;
    std::map<AttemptKey, TimePoint> m_recentlyEnded;
};

/// Resources that batch tasks (if @p batch) or all tasks together may use on an empty @p worker.
Resources taskCapacity(const WorkerRow &worker, bool batch, const ControlState &control);

} // namespace fescueledge
