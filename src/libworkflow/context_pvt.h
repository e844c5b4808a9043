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
    reserve::EndForecast ends;
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
    /// What tasks of @p step have in common, for the forecast of their ends.
    static std::string kindOf(const Step &step)
    {
        return step.occurrence->job->policy.name + (step.spec->filler ? "/filler" : "");
    }
    /// When @p task is expected to end on its worker.
    TimePoint expectedEnd(const Task &task) const
    {
        const Duration elapsed = task.atWorkSince == TimePoint{} ? Duration::zero() : now() - task.atWorkSince;
        return now() + ends.remaining(kindOf(*task.step), task.step->spec->estimate, elapsed, task.percentAtWork);
    }
    /// When a task of @p step would end that started now.
    TimePoint expectedEnd(const Step &step) const
    {
        return now() + ends.expected(kindOf(step), step.spec->estimate);
    }
};

} // namespace fescueledge::workflow
