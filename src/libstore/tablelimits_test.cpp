#include "fescueledge/tablelimits.h"
#include "fescueledge/transactionbuilder.h"

#include <catch2/catch.hpp>

using namespace fescueledge;

namespace {

using Added = TransactionBuilder::Added;

const std::string writeId = "write-1";

} // namespace

TEST_CASE("a row as long as the limit is accepted, a longer one is named")
{
    TableLimits limits;
    limits.rowBytes = 100;
    Transaction transaction;
    transaction.writeId = writeId;
    transaction.puts.push_back({"a/b", std::string(limits.rowBytes - writeId.size() - 1, 'x')});
    CHECK(exceededLimit(transaction, limits).empty());
    transaction.puts.push_back({"a/c", std::string(limits.rowBytes - writeId.size(), 'x')});
    CHECK(exceededLimit(transaction, limits) == "row a/c of 101 bytes");
}

TEST_CASE("conditions, puts and removals count as entries together")
{
    TableLimits limits;
    limits.entries = 2;
    Transaction transaction;
    transaction.conditions.push_back({"a/b", 1});
    transaction.puts.push_back({"a/b", "x"});
    CHECK(exceededLimit(transaction, limits).empty());
    transaction.removals.emplace_back("a/c");
    CHECK(exceededLimit(transaction, limits) == "3 entries");
}

TEST_CASE("a builder never exceeds the limits")
{
    TableLimits limits;
    limits.rowBytes = 1000;
    limits.entries = 10;
    limits.transactionBytes = 6000;
    TransactionBuilder builder(limits, writeId);
    REQUIRE(builder.addCondition("a/chain", 1) == Added::Yes);
    CHECK(builder.addPut("a/long", std::string(limits.rowBytes, 'x')) == Added::RowTooLong);
    while (builder.addPut("a/row", std::string(900, 'x')) == Added::Yes) { }
    CHECK(builder.addPut("a/row", std::string(900, 'x')) == Added::TransactionFull);
    CHECK(builder.transaction().puts.size() >= 3);
    while (builder.addRemoval("a/row") == Added::Yes) { }
    CHECK(exceededLimit(builder.transaction(), limits).empty());
    CHECK((builder.entriesLeft() == 0 || builder.addRemoval("a/row") == Added::TransactionFull));
}
