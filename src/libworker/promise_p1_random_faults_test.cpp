// P1 and P2 under randomised faults, two at a time: no worker is over capacity, no task runs in two places at once,
// and every task ends.

#include "fescueledge/random.h"
#include "workertestworld_pvt.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

using namespace fescueledge;

namespace {

constexpr int tasks = 150;

/// Injects two faults into a world in each round, after clearing those of the round before.
class FaultInjector
{
public:
    FaultInjector(WorkerTestWorld *world, std::uint64_t seed)
        : m_world(world)
        , m_random(seed)
    {
    }

    void startRound()
    {
        clearFaults();
        inject();
        inject();
    }

    void clearFaults()
    {
        m_world->fleet.faults = FakeWorkerFleet::Faults();
        m_world->network.loss = 0;
        m_world->setDataCentreOut("dc0", false);
        for (const std::unique_ptr<WorkerTestNode> &node : m_world->nodes) {
            if (node->loop.isAlive()) {
                node->authority.cut = false;
                node->loop.resume();
                m_world->fleet.setCut(node->authority.self(), false, false);
                m_world->network.setIsolated(node->authority.self(), false);
            }
        }
    }

    std::string history;

private:
    void inject()
    {
        WorkerTestNode &node = *m_world->nodes[m_random.below(m_world->nodes.size())];
        const NodeId name = node.authority.self();
        const std::size_t fault = m_random.below(10);
        history += " " + std::to_string(fault) + ":" + name;
        if (fault == 0 && m_kills < 2 && node.loop.isAlive()) {
            ++m_kills;
            m_world->killNode(name);
        } else if (fault == 1) {
            node.loop.pause();
        } else if (fault == 2) {
            node.authority.cut = true;
        } else if (fault == 3) {
            m_world->fleet.setCut(name, false, true);
        } else if (fault == 4) {
            m_world->fleet.setCut(name, true, true);
        } else if (fault == 5) {
            m_world->network.setIsolated(name, true);
        } else if (fault == 6 && m_vanished < 4) {
            ++m_vanished;
            m_world->removeVm(m_world->list[m_random.below(m_world->list.size())].name);
        } else if (fault == 7 && m_leaving < 3) {
            ++m_leaving;
            m_world->list[m_random.below(m_world->list.size())].state = VmEntry::State::Leaving;
        } else if (fault == 8) {
            m_world->setDataCentreOut("dc0", true);
        } else {
            m_world->fleet.faults = {0.2, 0.2, 0.3, 0.3, std::chrono::seconds(40)};
            m_world->network.loss = 0.1;
        }
    }

    WorkerTestWorld *m_world;
    Random m_random;
    int m_kills = 0;
    int m_vanished = 0;
    int m_leaving = 0;
};

void run(std::uint64_t seed)
{
    WorkerTestSettings settings;
    settings.nodes = 4;
    settings.seed = seed;
    WorkerTestWorld world(settings);
    Random random(seed);
    world.fleet.behaviourOf = [&random](const TaskCommand &) {
        FakeTaskBehaviour behaviour;
        behaviour.duration = std::chrono::seconds(5 + random.below(60));
        behaviour.use = {500 + static_cast<std::int64_t>(random.below(3000)), 3000, 0};
        behaviour.interference = 4 * random.unit();
        return behaviour;
    };
    for (int i = 0; i < tasks; ++i) {
        const Resources declared{1000 + static_cast<std::int64_t>(random.below(3)) * 1000, 4000, 0};
        const TaskClass taskClass = random.chance(0.1) ? TaskClass::LatencyCritical : TaskClass::Batch;
        world.addJob("job" + std::to_string(i), 1, declared, taskClass, "kind" + std::to_string(i % 3));
    }
    FaultInjector faults(&world, seed + 100);
    for (int i = 0; i < 8; ++i) {
        world.world.runFor(std::chrono::seconds(3 + random.below(40)));
        faults.startRound();
    }
    world.world.runFor(std::chrono::seconds(45));
    faults.clearFaults();
    CAPTURE(seed, faults.history);
    CHECK(world.runUntilDone(tasks, std::chrono::minutes(30)));
    for (const std::string &violation : world.fleet.violations) {
        UNSCOPED_INFO(violation);
    }
    CHECK(world.fleet.violations.empty());
}

} // namespace

TEST_CASE("P1, P2: randomised faults, two at a time")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        run(seed);
    }
}
