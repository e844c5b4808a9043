#include "clusterchecks_pvt.h"
#include "clusterfixture_pvt.h"
#include "faultdriver_pvt.h"
#include "fescueledge/controlstate.h"

#include <catch2/catch.hpp>

using namespace fescueledge;

namespace {

using std::chrono::minutes;
using std::chrono::seconds;
using Status = ControlOutcome::Status;

constexpr seconds settleTimeout{20};
constexpr seconds inForceTimeout{8};

void settle(ClusterFixture *cluster)
{
    const bool settled = cluster->runUntil(
        [cluster] {
            return cluster->allOwned();
        },
        settleTimeout);
    REQUIRE(settled);
    cluster->run(seconds(10));
}

/// Takes data centre `a` out of service through node @p index and waits for the answer.
std::optional<ControlOutcome> takeOutOfService(ClusterFixture *cluster, int index, Duration limit)
{
    std::optional<ControlOutcome> answer;
    cluster->node(index).control.takeOutOfService("a", {"operator", "maintenance"},
                                                  [&answer](const ControlOutcome &outcome) {
                                                      answer = outcome;
                                                  });
    cluster->runUntil(
        [&answer] {
            return answer.has_value();
        },
        limit);
    if (answer.has_value() && answer->status == Status::InForce) {
        cluster->recordInForce(answer->version);
    }
    return answer;
}

/// Takes data centres out of service and brings them back through random nodes, and records which versions are reported
/// to be in force.
class Operators
{
public:
    Operators(ClusterFixture *cluster, std::uint64_t seed)
        : m_cluster(cluster)
        , m_random(seed)
    {
        changeNext();
    }

    int answersInForce = 0;

private:
    void changeNext()
    {
        const int index = static_cast<int>(m_random.below(static_cast<std::size_t>(m_cluster->size())));
        const DataCentreId dataCentre(1, static_cast<char>('a' + m_random.below(3)));
        if (m_cluster->isUp(index)) {
            change(&m_cluster->node(index), dataCentre);
        }
        m_cluster->world.after(Milliseconds(m_random.below(5000)), [this] {
            changeNext();
        });
    }

    void change(ClusterProcess *process, const DataCentreId &dataCentre)
    {
        const auto handler = [this](const ControlOutcome &outcome) {
            if (outcome.status == Status::InForce) {
                ++answersInForce;
                m_cluster->recordInForce(outcome.version);
            }
        };
        if (m_random.chance(0.5)) {
            process->control.takeOutOfService(dataCentre, {"operator", "maintenance"}, handler);
        } else {
            process->control.returnToService(dataCentre, {"operator", "done"}, handler);
        }
    }

    ClusterFixture *m_cluster;
    Random m_random;
};

} // namespace

TEST_CASE("a data centre that is taken out of service is out on every node when the operator is answered")
{
    ClusterFixture cluster(1);
    settle(&cluster);
    const std::optional<ControlOutcome> answer = takeOutOfService(&cluster, 0, seconds(1));
    REQUIRE(answer.has_value());
    CHECK(answer->status == Status::InForce);
    for (int i = 0; i < cluster.size(); ++i) {
        CHECK(cluster.node(i).authority.control()->dataCentresOut.count("a") == 1);
    }
    cluster.run(seconds(5));
    checkNoViolations(cluster);
}

TEST_CASE("a paused node delays the answer until its authority has expired, and does not act when it resumes")
{
    const std::uint64_t seed = GENERATE(range(1, 11));
    CAPTURE(seed);
    ClusterFixture cluster(seed);
    settle(&cluster);
    cluster.pause(2, true);
    const std::optional<ControlOutcome> answer = takeOutOfService(&cluster, 0, inForceTimeout);
    REQUIRE(answer.has_value());
    CHECK(answer->status == Status::InForce);
    cluster.pause(2, false);
    cluster.run(seconds(10));
    CHECK(cluster.node(2).authority.control()->dataCentresOut.count("a") == 1);
    checkNoViolations(cluster);
}

TEST_CASE("nodes of a data centre that is isolated from store and peers do not act when the operator is answered")
{
    const std::uint64_t seed = GENERATE(range(1, 11));
    CAPTURE(seed);
    ClusterFixture cluster(seed);
    settle(&cluster);
    cluster.isolateDataCentre("b", true);
    cluster.node(1).table.faults.down = true;
    cluster.node(4).table.faults.down = true;
    const std::optional<ControlOutcome> answer = takeOutOfService(&cluster, 0, inForceTimeout);
    REQUIRE(answer.has_value());
    CHECK(answer->status == Status::InForce);
    CHECK(cluster.node(1).authority.control()->version == 0);
    cluster.run(seconds(20));
    checkNoViolations(cluster);
}

TEST_CASE("a node without access to the store may act on grants, so a change waits until it acknowledges")
{
    ClusterFixture cluster(1);
    settle(&cluster);
    cluster.node(3).table.faults.down = true;
    cluster.run(seconds(10));
    const std::optional<ControlOutcome> answer = takeOutOfService(&cluster, 0, seconds(1));
    REQUIRE(answer.has_value());
    CHECK(answer->status == Status::InForce);
    CHECK(cluster.node(3).loop.now() < cluster.node(3).authority.actUntil());
    CHECK(cluster.node(3).authority.control()->version == answer->version);
    checkNoViolations(cluster);
}

TEST_CASE("an isolated node whose group is only itself is reported as waited for")
{
    ClusterFixture cluster(1, 2);
    cluster.kill(1);
    cluster.run(settleTimeout);
    // The first node's group contains only itself. The second node starts while the two are disconnected.
    cluster.node(0).table.faults.down = true;
    cluster.boot(1);
    cluster.isolateDataCentre("a", true);
    cluster.run(seconds(15));
    const std::optional<ControlOutcome> answer = takeOutOfService(&cluster, 1, seconds(15));
    REQUIRE(answer.has_value());
    CHECK(answer->status == Status::Waiting);
    CHECK(answer->waitingFor == std::vector<NodeId>{"n0"});
    CHECK(cluster.node(0).loop.now() < cluster.node(0).authority.actUntil());
    checkNoViolations(cluster);
}

TEST_CASE("no node acts on an older control state than one answered to be in force, under random faults")
{
    const std::uint64_t seed = GENERATE(range(1, 13));
    CAPTURE(seed);
    ClusterFixture cluster(seed);
    Operators operators(&cluster, seed);
    FaultDriver faults(&cluster, seed + 1000);
    faults.run(minutes(2));
    CHECK(operators.answersInForce > 0);
    cluster.run(seconds(20));
    checkNoViolations(cluster);
}
