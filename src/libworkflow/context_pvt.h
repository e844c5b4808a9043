#pragma once

#include "activitymeter_pvt.h"
#include "fescueledge/eventlog.h"
#include "fescueledge/loop.h"
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
};

} // namespace fescueledge::workflow
