#pragma once

#include "activitymeter_pvt.h"
#include "fescueledge/eventlog.h"
#include "fescueledge/loop.h"
#include "fescueledge/reserve/endforecast.h"
#include "fescueledge/workflow/coordinatorsettings.h"
#include "fleettable_pvt.h"
#include "interferencemodel_pvt.h"
#include "jobtable_pvt.h"
#include "serviceclock_pvt.h"

namespace fescueledge::workflow {

/// State that the systems of one coordinator share during one term.
struct Context
{
    Loop *loop = nullptr;
    WorkerGateway *gateway = nullptr;
    EventLog *log = nullptr;
    CoordinatorSettings settings;
    std::function<WallTime()> wallClock;
    std::function<Duration()> sinceBoot; ///< NodeDependencies::sinceBoot.
    std::function<Duration()> processorTime; ///< NodeDependencies::processorTime.
    std::function<bool()> maySendOrders; ///< False while this node can't confirm that its term is the latest.
    std::function<void()> superseded; ///< Called when a worker has seen a later term.

    Term term = 0;
    TimePoint tookOverAt{};
    bool ended = false; ///< The term is over: late answers are ignored.
    const Catalog *catalog = nullptr;
    /// The time since boot up to which all accepted jobs are in the tables.
    std::function<Duration()> jobsConfirmedAt;
    std::function<Duration()> catalogConfirmedAt; ///< CatalogSource::confirmedAt().
    JobTable jobs;
    FleetTable fleet;
    InterferenceModel interference;
    reserve::EndForecast ends; ///< By queue.
    reserve::EndForecast fillerEnds; ///< The same for fillers, which the load beside them slows down.
    ServiceClock serviceClock;
    ActivityMeter activities{[this] {
        return now();
    }};

    std::function<void()> wakeDispatch; ///< Called when a task may have become startable.
    std::function<void()> wakeWriter; ///< Called when there is state to be written to the store.

    TimePoint now() const
    {
        return loop->now();
    }
    const reserve::EndForecast &endsLike(const Step &step) const
    {
        return step.spec->filler ? fillerEnds : ends;
    }
    /// Records that a task of @p step was done @p took after it had begun to work.
    void recordEnd(Step *step, Duration took)
    {
        const Milliseconds estimate = step->spec->estimate;
        (step->spec->filler ? fillerEnds : ends).record(step->occurrence->job->policy.name, estimate, took);
        step->ends.record(estimate, took);
    }
    /// How long a task of @p step is expected to work.
    Duration expectedSpan(const Step &step) const
    {
        return endsLike(step).expected(step.occurrence->job->policy.name, step.spec->estimate, step.ends);
    }
    /// When @p task is expected to end on its worker.
    TimePoint expectedEnd(const Task &task) const;
    /// When @p need is expected to fit on @p worker; the latest time there is if it isn't expected to.
    TimePoint roomFreeAt(const Worker &worker, const Resources &need) const;
};

} // namespace fescueledge::workflow
