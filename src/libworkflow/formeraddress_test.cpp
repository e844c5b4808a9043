// Entries of workers that name an address of a former incarnation, where another worker answers by now.
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <catch2/catch.hpp>
#include <string>

using namespace fescueledge;
using namespace fescueledge::workflow;

// Guards against a task at work twice: a late write of a worker's former incarnation named its former address again,
// and that another worker answered there was taken for the end of the runs of the present one.
TEST_CASE("another worker at a former address of a worker does not end its runs")
{
    constexpr int nodes = 3;
    constexpr int workers = 6;
    for (const int before : {100, 600, 1200}) {
        for (const int behind : {50, 300, 1000}) {
            INFO("at work for " << before << " ms, list behind for " << behind << " ms");
            const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, workers);
            world->workers.workOf = [](const TaskKey &) {
                return std::make_pair(Milliseconds(3000), false);
            };
            const WorkerEntry former = world->workers.find("w0")->entry;
            world->workers.crash("w0");
            world->run(Milliseconds(50));
            world->workers.find("w0")->entry.address = "next";
            world->workers.restart("w0");
            world->run(std::chrono::seconds(2));
            world->submit(0, jobA, workflowOf({simpleStep(workers)}));
            world->run(Milliseconds(before));
            const auto list = [&world](const WorkerEntry &entry) {
                FleetUpdate update;
                update.present.push_back(entry);
                for (const auto &listener : world->workers.listeners) {
                    listener(update);
                }
            };
            list(former);
            world->run(Milliseconds(behind));
            list(world->workers.find("w0")->entry);
            CHECK(reachesState(*world, 0, jobA, "complete", std::chrono::seconds(60)));
            CHECK(world->workers.tasksRunTwice().empty());
        }
    }
}
