#pragma once

#include "fescueledge/random.h"
#include "fescueledge/vmentry.h"
#include "fescueledge/workeragent.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fescueledge {

class Loop;
class SimWorld;

/// What a task really does, whatever was declared.
struct FakeTaskTruth
{
    Duration duration = std::chrono::seconds(60); ///< Run time with all the processors that it can use.
    Resources use{1000, 1000, 0};
    double interference = 0; ///< Rise of the service's p99 over its base if such tasks use the whole VM.
    bool fails = false; ///< Fails after `failAfter`.
    Duration failAfter = std::chrono::seconds(1);
};

/// Workers in virtual time with their true state: what runs, what it uses, how it slows the service beside it.
///
/// It accepts every start that is not fenced or late, also one that does not fit; tests look for such violations.
class FakeWorkerFleet
{
public:
    /// Faults of the messages between owners and workers.
    struct Faults
    {
        double loseRequest = 0;
        double loseReply = 0;
        double duplicate = 0; ///< Probability that a request arrives a second time, late.
        double late = 0; ///< Probability that a request arrives late.
        Duration lateBy = std::chrono::seconds(4); ///< Largest delay of a late request.
    };
    /// Sums over the run.
    struct Totals
    {
        int started = 0;
        int finished = 0;
        int failed = 0;
        int checkpointed = 0;
        int throttles = 0;
        double workDone = 0; ///< Seconds of progress, that of lost work included.
        double workLost = 0; ///< Seconds of progress that no checkpoint kept.
    };

    FakeWorkerFleet(SimWorld *world, std::uint64_t seed);

    /// Adds a worker; @p reserve is what its endpoint takes; @p clockRate the speed of its clock.
    void add(const VmEntry &vm, const Resources &reserve, double clockRate = 1.0);
    /// Ends the VM and everything on it.
    void kill(const WorkerId &worker);
    /// Makes every task on @p worker fail after a second, or ends that.
    void setFailsAll(const WorkerId &worker, bool failsAll);
    /// Cuts or restores the way from @p node to the workers (@p requests) and back (@p replies).
    void setCut(const NodeId &node, bool requests, bool replies);

    /// p99 latency of the service on @p worker at this moment.
    double trueP99Ms(const WorkerId &worker) const;
    int runningOn(const WorkerId &worker) const;
    std::vector<WorkerId> names() const;

    std::function<FakeTaskTruth(const TaskCommand &)> truthOf; ///< Must be set before the first start.
    std::function<double(const WorkerId &)> loadOf; ///< Load of the service, 0 to 1; 0.5 if not set.
    std::function<void(const VmEntry &, const TaskCommand &)> onStart; ///< Called for each true start.
    Faults faults;
    Totals totals;
    std::vector<std::string> violations; ///< Workers over capacity and tasks that ran twice at once.
    std::map<TaskId, int> finishes; ///< How often each task ran to its end.
    double baseP99Ms = 10; ///< p99 of a service without load and without neighbours.
    Duration reportLag = std::chrono::seconds(2);
    Duration checkpointTime = std::chrono::seconds(1);
    Milliseconds latency{1}; ///< One way.
    bool tellsLimits = true; ///< False for workers that repeat neither the limit nor the label of a start.

private:
    friend class FakeWorkerAgent;

    struct Run
    {
        TaskCommand command;
        FakeTaskTruth truth;
        TaskReport report;
        Duration progress{};
        Duration resumedFrom{};
        double share = 1;
        TimePoint checkpointAt; ///< Set while it saves its state.
    };
    struct Snapshot
    {
        TimePoint when;
        Resources used;
        double p99Ms = 0;
        std::map<std::pair<TaskId, Attempt>, Resources> usedByTask;
    };
    struct Worker
    {
        VmEntry vm;
        Resources reserve;
        double clockRate = 1;
        bool alive = true;
        bool failsAll = false;
        Epoch epoch = 0;
        Milliseconds leaseUntil{0}; ///< On its own clock.
        std::map<std::pair<TaskId, Attempt>, Run> runs;
        std::deque<Snapshot> snapshots;
    };

    void tick();
    void advance(Worker *worker, Duration span);
    void advanceRun(Worker *worker, Run *run, Duration span);
    void expireLease(Worker *worker);
    void stop(Run *run, TaskReport::State state, const std::string &detail);
    void save(Run *run);
    WorkerReply handle(const WorkerId &worker, const WorkerRequest &request);
    void apply(Worker *worker, const TaskCommand &command, bool inTime);
    void startRun(Worker *worker, const TaskCommand &command, bool inTime);
    void checkStart(const Worker &worker, const TaskCommand &command);
    WorkerReply reply(Worker *worker) const;
    Snapshot measure(const Worker &worker) const;
    double p99Ms(const Worker &worker) const;
    Milliseconds clockOf(const Worker &worker) const;

    SimWorld *m_world;
    Random m_random;
    std::map<WorkerId, Worker> m_workers;
    std::map<std::string, Duration> m_checkpoints;
    std::map<TaskId, std::pair<WorkerId, Attempt>> m_running;
    std::map<NodeId, std::pair<bool, bool>> m_cuts;
};

/// The way from one node to the workers of a fleet.
class FakeWorkerAgent : public WorkerAgent
{
public:
    FakeWorkerAgent(FakeWorkerFleet *fleet, Loop *loop, const NodeId &node);
    void exchange(const VmEntry &worker, const WorkerRequest &request, Milliseconds timeout, Handler handler) override;

private:
    struct PendingExchange;
    void deliver(const WorkerId &worker, const WorkerRequest &request, Duration delay,
                 const std::shared_ptr<PendingExchange> &pending);

    FakeWorkerFleet *m_fleet;
    Loop *m_loop;
    NodeId m_node;
};

} // namespace fescueledge
