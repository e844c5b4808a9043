// Starts while the coordinator's list of workers, or its configuration, is old.
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

/// After this time no task may start on a worker that has announced its shutdown.
constexpr Milliseconds drainLimit{2000};
/// The same for a worker in a data centre that is being evacuated.
constexpr Milliseconds evacuationLimit{5000};

} // namespace

// Guards against starts on a worker that is leaving: the store answers all other calls, but the news of it is late.
TEST_CASE("no task starts on a leaving worker while news of the workers is late")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, 2, 2);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(200), false);
    };
    world->submit(0, jobA, workflowOf({simpleStep(100)}));
    world->run(Milliseconds(500));
    world->withholdFleetUpdates(0, true);
    world->workers.setDraining("w0");
    const TimePoint announcedAt = world->world.now();
    world->run(Milliseconds(5000));
    for (const SimWorkers::RunRecord &run : world->workers.runs()) {
        CHECK_FALSE((run.worker == "w0" && run.began > announcedAt + drainLimit));
    }
    world->withholdFleetUpdates(0, false);
    CHECK(reachesState(*world, 0, jobA, "complete", std::chrono::seconds(30)));
    for (const SimWorkers::RunRecord &run : world->workers.runs()) {
        CHECK_FALSE((run.worker == "w0" && run.began > announcedAt + drainLimit));
    }
}

// Guards against the same starts after an outage, if another call is answered before the list of workers is read again.
TEST_CASE("after an outage of the store tasks start only when the list of workers has been read again")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(3, 2, 2);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(200), false);
    };
    world->submit(0, jobA, workflowOf({simpleStep(200)}));
    world->run(Milliseconds(500));
    for (int i = 0; i < 3; ++i) {
        world->storeFaults(i).down = true;
        world->withholdFleetUpdates(i, true);
    }
    const std::size_t before = world->workers.runs().size();
    world->run(Milliseconds(4000));
    CHECK(world->workers.runs().size() > before + 20); // Nobody can announce anything: starts go on.
    for (int i = 0; i < 3; ++i) {
        world->storeFaults(i).down = false;
    }
    world->workers.setDraining("w0");
    const TimePoint announcedAt = world->world.now();
    world->run(Milliseconds(4000));
    for (const SimWorkers::RunRecord &run : world->workers.runs()) {
        CHECK_FALSE((run.worker == "w0" && run.began > announcedAt + drainLimit));
    }
}

// Guards against starts in an evacuated data centre: the store answers all other calls, but the evacuation is read
// late.
TEST_CASE("no task starts in an evacuated data centre while news of the configuration is late")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, 2, 2);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(200), false);
    };
    world->submit(0, jobA, workflowOf({simpleStep(400)}));
    world->run(Milliseconds(500));
    world->withholdCatalogs(0, true);
    Catalog catalog = world->catalog;
    catalog.version = 2;
    catalog.evacuated = {"dc-a"};
    world->setCatalog(catalog);
    const TimePoint evacuatedAt = world->world.now();
    world->run(Milliseconds(8000));
    world->withholdCatalogs(0, false);
    CHECK(reachesState(*world, 0, jobA, "complete", std::chrono::seconds(60)));
    for (const SimWorkers::RunRecord &run : world->workers.runs()) {
        CHECK_FALSE((run.worker == "w0" && run.began > evacuatedAt + evacuationLimit));
    }
}
