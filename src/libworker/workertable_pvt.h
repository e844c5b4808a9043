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
    bool vmRemoved = false; ///< The VM vanished from the VM list.
    bool adopted = false; ///< The worker told under `epoch` what runs there.
    TimePoint acquiredAt; ///< When this node first saw itself own the rack under `epoch`.

    std::uint64_t generation = 0; ///< Tells this row from earlier rows of the same worker.
    bool exchangePending = false; ///< An exchange waits for its answer.
    bool exchangeRequested = false; ///< Commands wait; exchange at once.
    TimePoint lastSend;
    TimePoint lastReply;
    bool clockKnown = false;
    Milliseconds clock{0}; ///< The worker's clock as of the last reply.
    TimePoint clockReceivedAt; ///< When that reply came.
    TimePoint renewalDeadline; ///< No renewal sent so far can be accepted by the worker after this.

    std::uint64_t replyCount = 0; ///< Replies under `epoch`.
    Resources used; ///< Measured use, lagging.
    Milliseconds serviceP99{0}; ///< Measured, lagging.
    int inheritedRequests = 0; ///< Requests of earlier owners that may still run.
    double carry = 0; ///< Accumulated weight for the weight-and-carry strategy.

    TaskId earmarkedFor; ///< Latency-critical task that room is being made for.
    TimePoint earmarkedUntil;

    TimePoint lastInterferenceAction; ///< Last action of interference control.
    TimePoint throttledSince; ///< When the last batch attempt was fully throttled; only valid if `allThrottled`.
    bool allThrottled = false;

    bool isLeaving() const;
};

/// One attempt that is held, starting, running, or ended and not yet forgotten.
struct AttemptRow
{
    enum class Phase {
        Held, ///< Room is kept until `holdUntil`.
        Starting, ///< Claimed; the start command is sent until the worker shows the attempt.
        Running,
        Ended, ///< Terminal; uses no room.
    };

    TaskId task;
    Attempt attempt = 0;
    WorkerId worker;
    ShardId shard;
    Epoch epoch = 0;
    Phase phase = Phase::Held;
    TaskOffer offer;
    Resources allocation; ///< Room that it takes, and the limit that the worker enforces.
    TimePoint holdUntil;
    Milliseconds startBefore{0}; ///< Largest start-before time sent with its start command; 0 if never sent.
    TimePoint startedAt;
    double cpuShare = 1; ///< Share of its processors that it should have.
    double appliedCpuShare = 1; ///< Share that the worker acknowledged.
    bool checkpointRequested = false;
    bool stopRequested = false;
    bool isStillRunning = false; ///< Ended for the scheduler, yet the worker shows it running.
    TaskReport report; ///< The last report.
    bool workerLost = false;
    TimePoint reportedAt; ///< When it was last reported to the queue owner.
    bool settled = false; ///< The queue owner has made the end durable.

    bool usesCapacity() const;
    bool isBatch() const;
};

using AttemptKey = std::pair<TaskId, Attempt>;

/// Text that a worker repeats, from which the class and the kind of an attempt can be read after a hand-over.
std::string attemptLabel(const TaskOffer &offer);
/// Sets class and kind of @p offer from a label; anything unknown counts as latency-critical, which is never evicted.
void parseAttemptLabel(const std::string &label, TaskOffer &offer);

/// The workers of this node's racks and the attempts on them.
class WorkerTables
{
public:
    std::map<WorkerId, WorkerRow> workers;
    std::map<AttemptKey, AttemptRow> attempts;

    WorkerRow *findWorker(const WorkerId &worker);
    AttemptRow *findAttempt(const TaskId &task, Attempt attempt);
    /// Adds @p row, or returns the row that stands under its key.
    AttemptRow &addAttempt(const AttemptRow &row);
    /// Removes the row; it is remembered as known for a while.
    void removeAttempt(const AttemptKey &key, TimePoint now);
    /// Removes @p worker and its attempts, without a trace.
    void removeWorker(const WorkerId &worker);
    /// True if the attempt was here not long ago and is over.
    bool endedRecently(const AttemptKey &key) const;
    /// Drops what was forgotten longer ago than a queue owner asks for.
    void expireRecentlyEnded(TimePoint now);

    /// Keys of the attempts on @p worker, ordered.
    std::vector<AttemptKey> keysOn(const WorkerId &worker) const;
    /// The attempts on @p worker, ordered by key.
    std::vector<AttemptRow *> attemptsOn(const WorkerId &worker);
    std::vector<const AttemptRow *> attemptsOn(const WorkerId &worker) const;
    /// Room that running, starting and held attempts take on @p worker.
    Resources committed(const WorkerId &worker) const;
    /// Room that is left on @p worker for an attempt of class @p taskClass.
    Resources available(const WorkerRow &worker, TaskClass taskClass, const ControlState &control) const;

private:
    std::map<WorkerId, std::map<AttemptKey, AttemptRow *>> m_byWorker;
    std::map<AttemptKey, TimePoint> m_recentlyEnded;
};

/// What batch tasks (@p batch) or all tasks together may use of @p worker when it is empty.
Resources taskCapacity(const WorkerRow &worker, bool batch, const ControlState &control);

} // namespace fescueledge
