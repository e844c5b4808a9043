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

TEST_CASE("no two nodes act for one shard under random faults, and all shards are owned soon after them")
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

TEST_CASE("a node that was paused for a minute does not act for what it owned before")
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

TEST_CASE("nodes go on acting through a store outage of ten minutes, also when one daemon restarts in it")
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

TEST_CASE("shards move on when all daemons are replaced at once by others with new names")
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

TEST_CASE("a cut-off data centre and the others do not act for the same shards while the store is down for it")
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

TEST_CASE("a node whose write of a smaller group was lost still needs the old group")
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

TEST_CASE("a node whose write of a larger group got no answer needs the new group")
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
