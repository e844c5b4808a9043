#pragma once

#include "context_pvt.h"
#include "headroom_pvt.h"

#include <tuple>
#include <unordered_map>

namespace fescueledge::workflow {

class ObservationSystem;
class OrderSystem;

/// Decides which idle task starts next, and on which worker.
class DispatchSystem
{
public:
    DispatchSystem(std::shared_ptr<Context> context, OrderSystem *orders, const ObservationSystem *observations);

    /// Starts what can be started now, @p portion tasks at most; returns true if there may be more. The next run ranks
    /// anew, so what is more urgent and came meanwhile goes first.
    bool run(std::uint64_t portion);
    /// Whether a worker other than its own could take @p task, a filler, at once and without harm.
    bool hasPlaceElsewhere(const Task &task);

private:
    /// How urgent a step is; smaller goes first.
    struct Rank
    {
        int group = 0; ///< 0 urgent and in time, 1 long-running, 2 other in time, 3 late, 4 too late to be of use.
        int priority = 0;
        TimePoint objective;

        bool operator<(const Rank &other) const;
    };

    /// What decides, besides the size, which workers could take a task: service, label, image, whether it is a filler.
    using Shape = std::tuple<std::string, std::string, std::string, bool>;

    static Shape shapeOf(const Step &step);
    /// Whether a task of the same shape and at most this size found no worker in this run.
    bool knownNotToFit(const Step &step) const;
    Rank rankOf(const Step &step, TimePoint now) const;
    bool mayStart(const Step &step, bool earlierRunsKnown) const;
    /// Starts tasks of @p step until the run has started @p limit in all.
    void startStep(Step *step, std::uint64_t limit);
    void startGang(Step *step);
    bool usable(const Worker &worker, const Step &step) const;
    Worker *choose(const Step &step) const;
    double cost(const Worker &worker, const Step &step) const;
    double servingCost(const Worker &worker, const StepSpec &spec) const;
    /// Forgets headroom that was worked out too long ago.
    void refreshHeadroom();
    /// Headroom of the serving steps on @p worker beside the fillers there, at full pace.
    const std::vector<StepHeadroom> &headroomOn(const Worker &worker) const;
    /// The least headroom that serving tasks on @p worker would keep beside one more task of @p filler.
    double headroomBeside(const Worker &worker, const StepSpec &filler) const;
    /// The most headroom that one more task of @p filler would take from a serving task on @p worker.
    double headroomTaken(const Worker &worker, const StepSpec &filler) const;
    bool harmless(const Worker &worker, const StepSpec &filler) const;

    std::shared_ptr<Context> m_context;
    OrderSystem *m_orders;
    double m_fleetMilliCores = 0; ///< Capacity of all workers.
    const ObservationSystem *m_observations;
    /// Headroom on the workers looked at lately, as long as nothing was placed there.
    mutable std::unordered_map<const Worker *, std::vector<StepHeadroom>> m_headroom;
    TimePoint m_headroomAt{}; ///< When the oldest of it was worked out.
    std::map<Shape, std::vector<Resources>> m_noPlace; ///< Sizes that found no worker in the present run.
};

} // namespace fescueledge::workflow
