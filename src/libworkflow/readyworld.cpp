#include "readyworld_pvt.h"

#include "workflowworld_pvt.h"

#include <catch2/catch.hpp>

namespace fescueledge::workflow {

namespace {

constexpr Milliseconds settleTime{1500};

} // namespace

std::unique_ptr<WorkflowWorld> readyWorld(int nodes, int workers, std::int64_t cores)
{
    std::unique_ptr<WorkflowWorld> world = std::make_unique<WorkflowWorld>(nodes);
    for (int i = 0; i < workers; ++i) {
        Resources capacity;
        capacity.milliCores = cores * 1000;
        capacity.memoryMb = 100000;
        world->workers.add("w" + std::to_string(i), i % 2 == 0 ? "dc-a" : "dc-b", "r" + std::to_string(i / 2),
                           capacity);
    }
    world->run(settleTime);
    REQUIRE(world->coordinator() >= 0);
    return world;
}

bool reachesState(WorkflowWorld &world, int node, const JobId &id, const std::string &state, Duration limit)
{
    const TimePoint until = world.world.now() + limit;
    while (world.world.now() < until) {
        if (world.state(node, id) == state) {
            return true;
        }
        world.run(Milliseconds(50));
    }
    return false;
}

int otherThan(int node, int nodes)
{
    return (node + 1) % nodes;
}

} // namespace fescueledge::workflow
