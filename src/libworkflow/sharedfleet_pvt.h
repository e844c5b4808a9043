#pragma once

#include "fescueledge/random.h"
#include "workflowworld_pvt.h"

#include <memory>
#include <string>

namespace fescueledge::workflow {

/// Load pattern: each worker serves, the load of the serving tasks swings, and fillers lengthen their tails.
///
/// Tails are those of a queue: service time / idle share, with a target of 4.5 service times.
class SharedFleet
{
public:
    /// @p workers workers of 32 cores, each with one serving task; fillers press with @p pressure times the share of
    /// the worker that they declare.
    SharedFleet(int nodes, int workers, double pressure);

    /// A step of @p tasks fillers of four cores.
    static StepSpec fillerStep(std::uint32_t tasks);
    /// Submits a job of these steps, whose tasks take @p work at full pace.
    JobId submit(const std::vector<StepSpec> &steps, Milliseconds work);
    /// Submits a job of one step of @p tasks fillers.
    JobId submitFillers(std::uint32_t tasks, Milliseconds work);
    /// Lets the coordinator learn how much fillers disturb; then serving tasks bear none at full pace, but at a slow
    /// one.
    void trainModelAndRaiseLoad();
    /// Runs for @p span and keeps what the checks below tell.
    void run(Duration span);

    /// Runs of @p job that are at work or were.
    std::size_t runsOf(const JobId &job) const;
    /// The longest time for which @p job had nothing on any worker since it was submitted, until its end.
    Milliseconds longestIdle(const JobId &job) const;
    /// The longest time for which a serving task was over its target while fillers worked beside it.
    Milliseconds longestOverTarget() const;

    std::unique_ptr<WorkflowWorld> world;
    double servingLoad = 0.42; ///< Mean of the serving tasks' own load.
    double swing = 0.5; ///< By this share it rises and falls.
    std::map<WorkerId, double> slowdown; ///< How many times longer tails are on a worker than elsewhere.
    /// Fillers that began beside a serving task whose gauges had shown it over its target for a second.
    int startsBesideOverTarget() const
    {
        return m_startsBesideOverTarget;
    }

private:
    struct IdleTime
    {
        Duration idle{0};
        Duration longestIdle{0};
    };

    double ownLoad() const;
    double fillerLoad(const SimWorkers::SimWorker &worker) const;
    std::int64_t tailOf(const SimWorkers::SimWorker &worker) const;
    /// What a worker reports as the tail: rough.
    std::int64_t gaugeOf(const SimWorkers::SimWorker &worker);
    void recordIdleAndOverTarget(Duration span);
    void countStarts();

    double m_interference;
    Random m_random;
    std::map<JobId, IdleTime> m_jobs;
    std::map<JobId, Milliseconds> m_work;
    std::map<WorkerId, Duration> m_overTarget;
    Duration m_longestOverTarget{0};
    std::map<WorkerId, Duration> m_slow; ///< For how long the serving task of a worker has been over its target.
    std::size_t m_runsSeen = 0;
    int m_startsBesideOverTarget = 0;
};

} // namespace fescueledge::workflow
