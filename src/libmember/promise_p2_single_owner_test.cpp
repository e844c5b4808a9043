#include "clusterchecks_pvt.h"
#include "clusterfixture_pvt.h"
#include "faultdriver_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr seconds settleTimeout{20};

bool settles(ClusterFixture *cluster, Duration limit)
{
    return cluster->runUntil(
        [cluster] {
            return cluster->allOwned();
        },
        limit);
}

} // namespace

TEST_CASE("no two nodes act for one shard under random faults, and all shards are owned within 20 s after the faults")
{
    const std::uint64_t seed = GENERATE(range(1, 13));
    CAPTURE(seed);
    ClusterFixture cluster(seed);
    FaultDriver faults(&cluster, seed);
    faults.run(minutes(2));
    CHECK(settles(&cluster, settleTimeout));
    checkNoViolations(cluster);
}

TEST_CASE("a killed node's shards have new owners within 20 s")
{
    const std::uint64_t seed = GENERATE(range(1, 11));
    CAPTURE(seed);
    ClusterFixture cluster(seed);
    REQUIRE(settles(&cluster, settleTimeout));
    cluster.run(seconds(10));
    cluster.kill(static_cast<int>(seed % 6));
    CHECK(settles(&cluster, settleTimeout));
    checkNoViolations(cluster);
}

TEST_CASE("a node that resumes after a pause of one minute does not act for the shards it owned before")
{
    ClusterFixture cluster(3);
    REQUIRE(settles(&cluster, settleTimeout));
    const std::vector<ShardId> owned = cluster.node(0).authority.ownedShards();
    REQUIRE_FALSE(owned.empty());
    cluster.pause(0, true);
    cluster.run(minutes(1));
    CHECK(cluster.allOwned());
    cluster.pause(0, false);
    CHECK_FALSE(cluster.node(0).authority.ownedEpoch(owned.front()).has_value());
    cluster.run(settleTimeout);
    CHECK(cluster.allOwned());
    checkNoViolations(cluster);
}

TEST_CASE("nodes continue to act during a store outage of ten minutes, except a daemon that restarts during it")
{
    ClusterFixture cluster(4);
    REQUIRE(settles(&cluster, settleTimeout));
    cluster.run(seconds(30));
    cluster.setStoreDown(true);
    cluster.run(minutes(5));
    CHECK(cluster.allOwned());
    cluster.kill(2);
    cluster.boot(2);
    cluster.run(minutes(5));
    for (int i = 0; i < cluster.size(); ++i) {
        const NodeAuthority &authority = cluster.node(i).authority;
        CAPTURE(i);
        CHECK((cluster.node(i).loop.now() < authority.actUntil()) == (i != 2));
    }
    cluster.setStoreDown(false);
    CHECK(settles(&cluster, settleTimeout));
    checkNoViolations(cluster);
}

TEST_CASE("shards get new owners when all daemons are replaced at once by daemons with new names")
{
    ClusterFixture cluster(5);
    REQUIRE(settles(&cluster, settleTimeout));
    cluster.run(seconds(10));
    for (int i = 0; i < cluster.size(); ++i) {
        cluster.replace(i);
    }
    CHECK(settles(&cluster, settleTimeout));
    checkNoViolations(cluster);
}

TEST_CASE("an isolated data centre without the store does not act for shards that the other data centres take over")
{
    ClusterFixture cluster(6);
    REQUIRE(settles(&cluster, settleTimeout));
    cluster.run(seconds(10));
    cluster.isolateDataCentre("b", true);
    cluster.node(1).table.faults.down = true;
    cluster.node(4).table.faults.down = true;
    CHECK(cluster.runUntil(
        [&cluster] {
            const std::optional<int> owner = cluster.actingNode(rackShard("b", "r0"));
            return owner.has_value() && *owner % 3 != 1;
        },
        settleTimeout));
    cluster.heal();
    CHECK(settles(&cluster, settleTimeout));
    checkNoViolations(cluster);
}

TEST_CASE("a node still needs its old group if the write of a smaller group is lost")
{
    ClusterFixture cluster(7, 3);
    REQUIRE(settles(&cluster, settleTimeout));
    cluster.run(seconds(10));
    cluster.pause(1, true);
    cluster.pause(2, true);
    cluster.run(seconds(8));
    cluster.node(0).table.faults.loseRequest = 1.0;
    cluster.run(seconds(6));
    cluster.node(0).table.faults.down = true;
    cluster.network.setIsolated("n0", true);
    cluster.pause(1, false);
    cluster.pause(2, false);
    cluster.run(settleTimeout);
    CHECK(cluster.allOwned());
    CHECK(cluster.node(0).loop.now() >= cluster.node(0).authority.actUntil());
    checkNoViolations(cluster);
}

TEST_CASE("a node needs the new group if the write of a larger group gets no answer")
{
    ClusterFixture cluster(8, 3);
    cluster.kill(1);
    cluster.kill(2);
    cluster.run(seconds(15));
    REQUIRE(cluster.allOwned());
    cluster.node(0).table.faults.loseAnswer = 1.0;
    cluster.boot(1);
    cluster.boot(2);
    const bool isWritten = cluster.runUntil(
        [&cluster] {
            const std::string value = cluster.rows.read({"node/n0"}).rows.front().value;
            return value.find("\"n1\"") != std::string::npos;
        },
        seconds(10));
    REQUIRE(isWritten);
    cluster.node(0).table.faults.down = true;
    cluster.network.setIsolated("n0", true);
    cluster.run(settleTimeout);
    CHECK(cluster.allOwned());
    CHECK(cluster.node(0).loop.now() >= cluster.node(0).authority.actUntil());
    checkNoViolations(cluster);
}
