#pragma once

#include "context_pvt.h"

namespace fescueledge::workflow {

class ObservationSystem;
class OrderSystem;

/// Decides which idle task starts next, and on which worker.
class DispatchSystem
{
public:
    DispatchSystem(std::shared_ptr<Context> context, OrderSystem *orders, const ObservationSystem *observations);

    /// Starts what can be started now.
    void run();

private:
    /// How urgent a step is; smaller goes first.
    struct Rank
    {
        int group = 0; ///< 0 long-running, 1 can meet its objective, 2 late, 3 too late to be of use.
        int priority = 0;
        TimePoint objective;

        bool operator<(const Rank &other) const;
    };

    Rank rankOf(const Step &step, TimePoint now) const;
    bool mayStart(const Step &step, bool earlierRunsKnown) const;
    void startStep(Step *step);
    void startGang(Step *step);
    bool usable(const Worker &worker, const Step &step) const;
    Worker *choose(const Step &step) const;
    double cost(const Worker &worker, const Step &step) const;

    std::shared_ptr<Context> m_context;
    OrderSystem *m_orders;
    const ObservationSystem *m_observations;
};

} // namespace fescueledge::workflow
