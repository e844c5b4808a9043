#pragma once

#include "fescueledge/random.h"
#include "workflowworld_pvt.h"

#include <memory>
#include <string>

namespace fescueledge::workflow {

/// Load pattern: each worker runs a serving task, the load of the serving tasks varies, and fillers lengthen their
/// tails.
///
/// Tails are those of a queue: service time / idle share, with a target of 4.5 service times.
class SharedFleet
{
public:
    /// @p workers workers of 32 cores, each with one serving task; each filler adds @p interference times its declared
    /// share of the worker to the load of the serving task there.
    SharedFleet(int nodes, int workers, double interference);

    /// A step of @p tasks fillers of four cores.
    static StepSpec fillerStep(std::uint32_t tasks);
    /// Submits a job of these steps, whose tasks take @p work at full pace.
    JobId submit(const std::vector<StepSpec> &steps, Milliseconds work);
    /// Submits a job of one step of @p tasks fillers.
    JobId submitFillers(std::uint32_t tasks, Milliseconds work);
    /// Lets the coordinator learn the interference of fillers, then raises the load: serving tasks have headroom for
    /// fillers at a low pace, but not at full pace.
    void trainModelAndRaiseLoad();
    /// Runs for @p span and records the values for the checks below.
    void run(Duration span);

    /// Number of active and ended runs of @p job.
    std::size_t runsOf(const JobId &job) const;
    /// The longest time for which @p job had no task on any worker, from its submission to its end.
    Milliseconds longestIdle(const JobId &job) const;
    /// The longest time for which a serving task was over its target while fillers ran beside it.
    Milliseconds longestOverTarget() const;

    std::unique_ptr<WorkflowWorld> world;
    double servingLoad = 0.42; ///< Mean of the serving tasks' own load.
    double swing = 0.5; ///< Relative amplitude of the variation of that load.
    std::map<WorkerId, double> slowdown; ///< Factor by which tails on a worker are longer than elsewhere.
    /// Number of fillers that started beside a serving task whose gauges had shown it over its target for a second.
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
    /// The tail as a worker reports it, with a random error.
    std::int64_t gaugeOf(const SimWorkers::SimWorker &worker);
    void recordIdleAndOverTarget(Duration span);
    void countStarts();

    double m_interference;
    Random m_random;
    std::map<JobId, IdleTime> m_jobs;
    std::map<JobId, Milliseconds> m_work;
    std::map<WorkerId, Duration> m_overTarget;
    Duration m_longestOverTarget{0};
    /// For how long the gauges of a worker's serving task have certainly shown it over its target.
    std::map<WorkerId, Duration> m_servingOverTarget;
    std::size_t m_runsSeen = 0;
    int m_startsBesideOverTarget = 0;
};

} // namespace fescueledge::workflow
