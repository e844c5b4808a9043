#include "clusterchecks_pvt.h"
#include "clusterfixture_pvt.h"
#include "faultdriver_pvt.h"
#include "fescueledge/controlstate.h"
#include "fescueledge/testing/historychecker.h"

#include <catch2/catch.hpp>

using namespace fescueledge;

namespace {

using std::chrono::minutes;
using std::chrono::seconds;
using Status = ControlOutcome::Status;

constexpr seconds settleTimeout{20};
constexpr seconds inForceTimeout{8};

ControlChange changeTo(ControlVersion expectedVersion, const std::string &routes, const std::string &who = "operator")
{
    ControlChange change;
    change.origin.who = who;
    change.origin.why = "test";
    change.expectedVersion = expectedVersion;
    change.content.routesText = routes;
    change.expectedDigest = change.content.digest();
    return change;
}

void settle(ClusterFixture *cluster)
{
    const bool settled = cluster->runUntil(
        [cluster] {
            return cluster->allOwned();
        },
        settleTimeout);
    REQUIRE(settled);
}

std::optional<ControlOutcome> propose(ClusterFixture *cluster, int index, const ControlChange &change, Duration limit)
{
    std::optional<ControlOutcome> answer;
    cluster->node(index).control.propose(change, [&answer](const ControlOutcome &outcome) {
        answer = outcome;
    });
    cluster->runUntil(
        [&answer] {
            return answer.has_value();
        },
        limit);
    return answer;
}

/// Operators at all nodes that concurrently read the control state, propose edits and record the outcomes.
class RacingOperators
{
public:
    RacingOperators(ClusterFixture *cluster, std::uint64_t seed)
        : m_cluster(cluster)
        , m_random(seed)
    {
        editNext();
    }

    void stop()
    {
        m_active = false;
    }

    std::vector<RegisterOperation> history;
    std::map<Status, int> counts;

private:
    void editNext()
    {
        if (!m_active) {
            return;
        }
        const int index = static_cast<int>(m_random.below(static_cast<std::size_t>(m_cluster->size())));
        if (m_cluster->isUp(index)) {
            edit(&m_cluster->node(index));
        }
        m_cluster->world.after(Milliseconds(m_random.below(3000)), [this] {
            editNext();
        });
    }

    void edit(ClusterProcess *process)
    {
        const ControlVersion expectedVersion = process->control.current()->version;
        const std::string routes = "edit" + std::to_string(history.size());
        const std::size_t i = history.size();
        history.push_back(RegisterOperation{RegisterOperation::Kind::Change, RegisterOperation::Outcome::Unknown,
                                            m_cluster->world.now(), TimePoint(), expectedVersion, routes});
        process->control.propose(changeTo(expectedVersion, routes), [this, i](const ControlOutcome &outcome) {
            finish(i, outcome);
        });
    }

    void finish(std::size_t i, const ControlOutcome &outcome)
    {
        ++counts[outcome.status];
        RegisterOperation &operation = history[i];
        operation.returned = m_cluster->world.now();
        switch (outcome.status) {
        case Status::InForce:
            m_cluster->recordInForce(outcome.version);
            operation.outcome = RegisterOperation::Outcome::Done;
            return;
        case Status::Waiting:
            operation.outcome = RegisterOperation::Outcome::Done;
            return;
        case Status::Conflict:
            operation.outcome = RegisterOperation::Outcome::Refused;
            return;
        case Status::StoreUnavailable:
            // The change had no effect, but not because of its version, so it says nothing about the register.
            operation.kind = RegisterOperation::Kind::Read;
            operation.outcome = RegisterOperation::Outcome::Unknown;
            return;
        default:
            return;
        }
    }

    ClusterFixture *m_cluster;
    Random m_random;
    bool m_active = true;
};

/// Appends a read of the newest entry of the audit trail to @p history.
void appendFinalRead(ClusterFixture *cluster, std::vector<RegisterOperation> *history)
{
    bool answered = false;
    const TimePoint invoked = cluster->world.now();
    cluster->node(0).control.history(1, [&](bool available, const std::vector<ControlHistoryEntry> &entries) {
        REQUIRE(available);
        RegisterOperation read{
            RegisterOperation::Kind::Read, RegisterOperation::Outcome::Done, invoked, cluster->world.now(), 0, ""};
        if (!entries.empty()) {
            read.version = entries.front().version;
            read.value = entries.front().after.routesText;
        }
        history->push_back(read);
        answered = true;
    });
    cluster->runUntil(
        [&answered] {
            return answered;
        },
        seconds(5));
    REQUIRE(answered);
}

} // namespace

TEST_CASE("an accepted configuration is in force on all nodes, applied before it is acknowledged")
{
    ClusterFixture cluster(1);
    settle(&cluster);
    const std::optional<ControlOutcome> answer = propose(&cluster, 0, changeTo(0, "routes"), seconds(1));
    REQUIRE(answer.has_value());
    CHECK(answer->status == Status::InForce);
    CHECK(answer->version == 1);
    for (int i = 0; i < cluster.size(); ++i) {
        CHECK(cluster.node(i).appliedVersion == 1);
        CHECK(cluster.node(i).authority.control()->routesText == "routes");
    }
}

TEST_CASE("a change is rejected if its version, digest or table is wrong, or the store is down")
{
    ClusterFixture cluster(2);
    settle(&cluster);
    REQUIRE(propose(&cluster, 0, changeTo(0, "first"), seconds(5))->status == Status::InForce);

    const ControlOutcome conflict = *propose(&cluster, 1, changeTo(0, "second"), seconds(5));
    CHECK(conflict.status == Status::Conflict);
    CHECK(conflict.version == 1);

    ControlChange unreviewed = changeTo(1, "second");
    unreviewed.content.poolsText = "more";
    CHECK(propose(&cluster, 1, unreviewed, seconds(5))->status == Status::DigestMismatch);
    CHECK(propose(&cluster, 1, changeTo(1, "bad"), seconds(5))->status == Status::Invalid);

    cluster.setStoreDown(true);
    CHECK(propose(&cluster, 1, changeTo(1, "second"), seconds(10))->status == Status::StoreUnavailable);
    CHECK(cluster.node(3).authority.control()->routesText == "first");
}

TEST_CASE("a change whose answers from the store are all lost is accepted exactly once and reported as in force")
{
    ClusterFixture cluster(3);
    settle(&cluster);
    cluster.node(0).table.faults.loseAnswer = 1.0;
    const std::optional<ControlOutcome> answer = propose(&cluster, 0, changeTo(0, "routes"), inForceTimeout);
    REQUIRE(answer.has_value());
    CHECK(answer->status == Status::InForce);
    CHECK(answer->version == 1);
}

TEST_CASE("a configuration is in force within 8 s while one node is paused and another is isolated")
{
    const std::uint64_t seed = GENERATE(range(1, 11));
    CAPTURE(seed);
    ClusterFixture cluster(seed);
    settle(&cluster);
    cluster.run(seconds(10));
    cluster.pause(2, true);
    cluster.network.setIsolated("n5", true);
    cluster.node(5).table.faults.down = true;
    const std::optional<ControlOutcome> answer = propose(&cluster, 0, changeTo(0, "routes"), inForceTimeout);
    REQUIRE(answer.has_value());
    CHECK(answer->status == Status::InForce);
    cluster.recordInForce(1);
    cluster.heal();
    cluster.run(seconds(10));
    CHECK(cluster.node(5).authority.control()->version == 1);
    checkNoViolations(cluster);
}

TEST_CASE("taking data centres out of service and editing tables concurrently preserves all changes")
{
    ClusterFixture cluster(4);
    settle(&cluster);
    std::vector<ControlOutcome> answers;
    const auto record = [&answers](const ControlOutcome &outcome) {
        answers.push_back(outcome);
    };
    cluster.node(0).control.propose(changeTo(0, "routes"), record);
    cluster.node(1).control.takeOutOfService("a", {"alice", "power"}, record);
    cluster.node(2).control.takeOutOfService("b", {"bob", "power"}, record);
    cluster.run(seconds(5));
    REQUIRE(answers.size() == 3);
    const std::shared_ptr<const ControlState> state = cluster.node(3).authority.control();
    CHECK(state->dataCentresOut == std::set<DataCentreId>{"a", "b"});
    bool answered = false;
    cluster.node(5).control.history(10, [&](bool available, const std::vector<ControlHistoryEntry> &entries) {
        answered = available;
        REQUIRE(entries.size() == state->version);
        for (std::size_t i = 0; i + 1 < entries.size(); ++i) {
            CHECK(entries[i].before == entries[i + 1].after);
            CHECK_FALSE(entries[i].origin.who.empty());
        }
    });
    cluster.run(seconds(1));
    CHECK(answered);
}

TEST_CASE("a node that learns of a newer version while the store is down loads it from its peer")
{
    ClusterFixture cluster(5);
    settle(&cluster);
    cluster.run(seconds(10));
    cluster.network.setIsolated("n4", true);
    cluster.node(4).table.faults.down = true;
    std::optional<ControlOutcome> answer;
    cluster.node(0).control.propose(changeTo(0, "routes"), [&](const ControlOutcome &outcome) {
        answer = outcome;
        cluster.recordInForce(outcome.version);
    });
    cluster.run(Milliseconds(200));
    cluster.setStoreDown(true);
    cluster.run(seconds(1));
    CHECK_FALSE(answer.has_value());
    CHECK(cluster.node(4).authority.control()->version == 0);
    cluster.network.setIsolated("n4", false);
    cluster.run(seconds(3));
    REQUIRE(answer.has_value());
    CHECK(answer->status == Status::InForce);
    CHECK(cluster.node(4).authority.control()->routesText == "routes");
    CHECK(cluster.node(4).loop.now() < cluster.node(4).authority.actUntil());
    checkNoViolations(cluster);
}

TEST_CASE("a daemon that starts while the store is down loads the configuration from its peers, and does not act")
{
    ClusterFixture cluster(6);
    settle(&cluster);
    REQUIRE(propose(&cluster, 0, changeTo(0, "routes"), inForceTimeout)->status == Status::InForce);
    cluster.recordInForce(1);
    cluster.setStoreDown(true);
    cluster.kill(4);
    cluster.boot(4);
    cluster.run(seconds(5));
    CHECK(cluster.node(4).authority.control()->routesText == "routes");
    CHECK(cluster.node(4).loop.now() >= cluster.node(4).authority.actUntil());
    checkNoViolations(cluster);
}

TEST_CASE("the changes of concurrent operators are linearizable under random faults, and none is reverted")
{
    const std::uint64_t seed = GENERATE(range(1, 13));
    CAPTURE(seed);
    ClusterFixture cluster(seed);
    RacingOperators operators(&cluster, seed);
    FaultDriver faults(&cluster, seed + 2000);
    faults.run(minutes(2));
    operators.stop();
    cluster.run(seconds(30));
    appendFinalRead(&cluster, &operators.history);
    const ControlVersion newest = operators.history.back().version;
    CHECK(newest > 0);
    const std::optional<std::string> violation = checkLinearizable(operators.history);
    CHECK_FALSE(violation.has_value());
    for (int i = 0; i < cluster.size(); ++i) {
        CHECK(cluster.node(i).authority.control()->version == newest);
    }
    checkNoViolations(cluster);
}
