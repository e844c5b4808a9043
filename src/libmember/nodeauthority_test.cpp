#include "clusterfixture_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;

namespace {

constexpr std::chrono::seconds settleTimeout{20};

} // namespace

TEST_CASE("six nodes own all shards, and each rack is owned by a node of its data centre")
{
    ClusterFixture cluster(1);
    const bool settled = cluster.runUntil(
        [&cluster] {
            return cluster.allOwned();
        },
        settleTimeout);
    REQUIRE(settled);
    cluster.run(std::chrono::seconds(60));
    CHECK(cluster.violations.empty());
    CHECK(cluster.allOwned());
    for (const DataCentreId dataCentre : {"a", "b", "c"}) {
        const std::optional<int> owner = cluster.actingNode(rackShard(dataCentre, "r0"));
        REQUIRE(owner.has_value());
        CHECK(cluster.node(*owner).identity.dataCentre == dataCentre);
    }
    CHECK(cluster.node(0).authority.liveNodes().size() == 6);
}

TEST_CASE("a drained node hands its shards over and deregisters")
{
    ClusterFixture cluster(2);
    cluster.run(settleTimeout);
    REQUIRE(cluster.allOwned());
    bool done = false;
    cluster.node(0).authority.drain([&done] {
        done = true;
    });
    const bool drained = cluster.runUntil(
        [&done] {
            return done;
        },
        settleTimeout);
    CHECK(drained);
    CHECK(cluster.rows.read({"node/n0"}).rows.empty());
    cluster.run(std::chrono::seconds(2));
    CHECK(cluster.allOwned());
    CHECK(cluster.violations.empty());
}
