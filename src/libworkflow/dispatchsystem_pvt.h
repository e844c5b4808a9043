#pragma once

#include "context_pvt.h"

#include <map>
#include <tuple>

namespace fescueledge::workflow {

class ObservationSystem;
class OrderSystem;
class Placement;
struct Place;

/// Decides which idle task starts next, and on which worker.
class DispatchSystem
{
public:
    DispatchSystem(std::shared_ptr<Context> context, OrderSystem *orders, Placement *placement,
                   const ObservationSystem *observations);

    /// Starts what can be started now, @p portion tasks at most; returns true if there may be more. The next run ranks
    /// anew, so what is more urgent and came meanwhile goes first.
    bool run(std::uint64_t portion);
    /// Whether tasks of @p step may be started now, if there is a place.
    static bool mayStart(const Step &step, bool earlierRunsKnown);

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

    using SizesByShape = std::map<Shape, std::vector<Resources>>;

    static Shape shapeOf(const Step &step);
    /// Whether a task of the same shape and at most this size found no worker in this run, of an overdue job if @p
    /// step's is overdue.
    bool isKnownUnplaceable(const Step &step, bool overdue) const;
    Rank rankOf(const Step &step, TimePoint now) const;
    /// Starts tasks of @p step until the run has started @p limit in all.
    void startStep(Step *step, std::uint64_t limit);
    void startGang(Step *step);
    void startAt(Task *task, const Place &place);

    std::shared_ptr<Context> m_context;
    OrderSystem *m_orders;
    Placement *m_placement;
    double m_fleetMilliCores = 0; ///< Capacity of all workers.
    const ObservationSystem *m_observations;
    SizesByShape m_unplaceable; ///< Sizes that found no worker in the present run.
    SizesByShape m_unplaceableOverdue; ///< The same, although their jobs were overdue.
};

} // namespace fescueledge::workflow
