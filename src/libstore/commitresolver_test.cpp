#include "fescueledge/commitresolver.h"

#include "fescueledge/testing/faketableservice.h"
#include "fescueledge/testing/memorytable.h"
#include "fescueledge/testing/simloop.h"
#include "fescueledge/testing/simworld.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace fescueledge;

namespace {

struct ResolverFixture
{
    SimWorld world;
    SimLoop loop{&world};
    MemoryTable rows;
    FakeTableService table{&world, &loop, &rows, 1};
    CommitResolver resolver{&loop, &table};

    std::optional<CommitStatus> commit(const std::string &writeId, RowVersion expected, Duration resultTimeout)
    {
        std::optional<CommitStatus> status;
        Transaction transaction;
        transaction.writeId = writeId;
        transaction.conditions = {{"a", expected}};
        transaction.puts = {{"a", writeId}};
        resolver.commit(transaction, resultTimeout, [&status](const CommitResult &result) {
            status = result.status;
        });
        world.runUntil(
            [&status] {
                return status.has_value();
            },
            std::chrono::minutes(1));
        return status;
    }
};

} // namespace

TEST_CASE("a commit whose response is lost is found by its write id and not written twice")
{
    ResolverFixture fixture;
    fixture.table.faults.loseAnswer = 1.0;

    CHECK(fixture.commit("w1", 0, std::chrono::seconds(10)) == CommitStatus::Committed);
    CHECK(fixture.rows.commits() == 1);
}

TEST_CASE("a commit whose request is lost is retried")
{
    ResolverFixture fixture;
    fixture.table.faults.loseRequest = 1.0;
    fixture.world.after(std::chrono::seconds(1), [&fixture] {
        fixture.table.faults.loseRequest = 0;
    });

    CHECK(fixture.commit("w1", 0, std::chrono::seconds(10)) == CommitStatus::Committed);
    CHECK(fixture.rows.commits() == 1);
}

TEST_CASE("a conflict with another writer is reported as a conflict when responses are lost")
{
    ResolverFixture fixture;
    REQUIRE(fixture.commit("other", 0, std::chrono::seconds(1)) == CommitStatus::Committed);
    fixture.table.faults.loseAnswer = 0.5;

    for (int i = 0; i < 20; ++i) {
        CHECK(fixture.commit("w" + std::to_string(i), 0, std::chrono::seconds(30)) == CommitStatus::Conflict);
    }
}

TEST_CASE("a commit is reported as unknown when the store stays down past the timeout")
{
    ResolverFixture fixture;
    fixture.table.faults.down = true;

    CHECK(fixture.commit("w1", 0, std::chrono::seconds(3)) == CommitStatus::Unknown);
}

TEST_CASE("a transaction without a condition on its witness row is rejected")
{
    ResolverFixture fixture;
    Transaction transaction;
    transaction.puts = {{"a", "1"}};
    CHECK_THROWS_AS(fixture.resolver.commit(transaction, Duration::zero(), [](const CommitResult &) {}),
                    std::invalid_argument);
}

TEST_CASE("a pending commit completes after its resolver is destroyed")
{
    SimWorld world;
    SimLoop loop{&world};
    MemoryTable rows;
    FakeTableService table{&world, &loop, &rows, 1};
    table.faults.loseAnswer = 1.0;
    std::optional<CommitStatus> status;
    {
        CommitResolver resolver{&loop, &table};
        Transaction transaction;
        transaction.writeId = "w1";
        transaction.conditions = {{"a", 0}};
        transaction.puts = {{"a", "w1"}};
        resolver.commit(transaction, std::chrono::seconds(10), [&status](const CommitResult &result) {
            status = result.status;
        });
    }
    world.runFor(std::chrono::seconds(20));
    CHECK(status == CommitStatus::Committed);
}
