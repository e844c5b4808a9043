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

/// Actual behaviour of a task, independent of its declared resources.
struct FakeTaskBehaviour
{
    Duration duration = std::chrono::seconds(60); ///< Run time when it gets all the CPU that it can use.
    Resources use{1000, 1000, 0};
    double interference = 0; ///< Increase of the service's p99 over its base when such tasks use the whole VM.
    bool fails = false; ///< Fails after `failAfter`.
    Duration failAfter = std::chrono::seconds(1);
};

/// Simulated workers in virtual time with their actual state: running attempts, resource use and the latency of the
/// service on each worker.
///
/// It accepts every start that is not fenced or late, even one that does not fit; tests check for such violations.
class FakeWorkerFleet
{
public:
    /// Faults to inject into messages between owners and workers.
    struct Faults
    {
        double loseRequest = 0;
        double loseReply = 0;
        double duplicate = 0; ///< Probability that a request arrives a second time, delayed.
        double late = 0; ///< Probability that a request is delayed.
        Duration lateBy = std::chrono::seconds(4); ///< Maximum delay of a late request.
    };
    /// Totals over the simulation.
    struct Totals
    {
        int started = 0;
        int finished = 0;
        int failed = 0;
        int checkpointed = 0;
        int throttles = 0;
        double workDone = 0; ///< Seconds of progress, including lost work.
        double workLost = 0; ///< Seconds of progress that no checkpoint saved.
    };

    FakeWorkerFleet(SimWorld *world, std::uint64_t seed);

    /// Adds a worker. @p reserve is reserved for its endpoint; @p clockRate is the rate of its clock.
    void add(const VmEntry &vm, const Resources &reserve, double clockRate = 1.0);
    /// Stops the VM and everything on it.
    void kill(const WorkerId &worker);
    /// Sets whether every task on @p worker fails after a second.
    void setFailsAll(const WorkerId &worker, bool failsAll);
    /// Cuts or restores the link from @p node to the workers (@p requests) and back (@p replies).
    void setCut(const NodeId &node, bool requests, bool replies);

    /// Current p99 latency of the service on @p worker, without lag.
    double trueP99Ms(const WorkerId &worker) const;
    int runningOn(const WorkerId &worker) const;
    std::vector<WorkerId> names() const;

    std::function<FakeTaskBehaviour(const TaskCommand &)> behaviourOf; ///< Must be set before the first start.
    std::function<double(const WorkerId &)> loadOf; ///< Load of the service, 0 to 1; 0.5 if not set.
    std::function<void(const VmEntry &, const TaskCommand &)> onStart; ///< Called each time an attempt starts.
    Faults faults;
    Totals totals;
    std::vector<std::string> violations; ///< Workers over capacity and tasks with two attempts running at once.
    std::map<TaskId, int> finishes; ///< Number of times that each task finished.
    double baseP99Ms = 10; ///< p99 of a service without load and without tasks on its worker.
    Duration reportLag = std::chrono::seconds(2);
    Duration checkpointTime = std::chrono::seconds(1);
    Milliseconds latency{1}; ///< One-way latency.
    bool reportsLimits = true; ///< False to simulate workers that report neither the limit nor the label of a start.

private:
    friend class FakeWorkerAgent;

    struct Run
    {
        TaskCommand command;
        FakeTaskBehaviour behaviour;
        TaskReport report;
        Duration progress{};
        Duration resumedFrom{};
        double share = 1;
        TimePoint checkpointAt; ///< Set while the run saves its state.
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

/// The worker agent of one node: its link to the workers of a fleet.
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
