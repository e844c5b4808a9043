#pragma once

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

    /// Submits @p tasks fillers of four cores, which take @p work at full pace.
    JobId submitFillers(std::uint32_t tasks, Milliseconds work);
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

private:
    struct Watch
    {
        Duration idle{0};
        Duration longestIdle{0};
    };

    double ownLoad() const;
    double fillerLoad(const SimWorkers::SimWorker &worker) const;
    std::int64_t tailOf(const SimWorkers::SimWorker &worker) const;
    void watch(Duration span);

    double m_pressure;
    std::map<JobId, Watch> m_jobs;
    std::map<JobId, Milliseconds> m_work;
    std::map<WorkerId, Duration> m_overTarget;
    Duration m_longestOverTarget{0};
};

} // namespace fescueledge::workflow
