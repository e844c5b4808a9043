#pragma once

#include "fescueledge/dispatchmessages.h"
#include "fescueledge/types.h"

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace fescueledge {

class FakeOwnership;
class Loop;
class PeerTransport;

/// A queue owner that never fails, for tests of rack owners: it reserves, claims, starts and acknowledges outcomes.
class FakeTaskQueue
{
public:
    FakeTaskQueue(Loop *loop, PeerTransport *transport, FakeOwnership *ownership);
    void start();
    void add(const TaskOffer &offer);

    int pending() const;
    int claimed() const;

    int maxAttemptsPerTask = 20; ///< Failed attempts after which a task is given up.
    std::set<TaskId> done;
    std::set<TaskId> givenUp;
    int lost = 0; ///< Attempts lost with their worker or its leases.
    int refused = 0; ///< Claims that never started.
    int evicted = 0; ///< Attempts that ended with a checkpoint.

private:
    struct Task
    {
        TaskOffer offer;
        bool claimed = false;
        Reservation claim;
        TimePoint heard;
        int failures = 0;
    };

    void tick();
    void reserve();
    void onReserved(const std::vector<TaskId> &tasks, const ReserveReply &reply);
    void resendStarts();
    OutcomeReply onOutcome(const OutcomeReport &report);
    bool onEnded(Task *task, const OutcomeReport::Item &item);
    void requeue(Task *task);

    Loop *m_loop;
    PeerTransport *m_transport;
    FakeOwnership *m_ownership;
    std::map<TaskId, Task> m_tasks;
    std::deque<TaskId> m_urgent;
    std::deque<TaskId> m_batch;
    std::size_t m_nextNode = 0;
    std::map<NodeId, bool> m_asking;
};

} // namespace fescueledge
