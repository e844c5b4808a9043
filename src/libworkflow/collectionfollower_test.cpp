// How new the rows of a follower are known to be.
#include "fescueledge/testing/simloop.h"
#include "fescueledge/testing/simworld.h"
#include "fescueledge/workflow/collectionfollower.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

class MockTable : public WatchableTable
{
public:
    MAKE_MOCK2(read, void(const std::vector<std::string> &, ReadHandler), override);
    MAKE_MOCK2(scan, void(const std::string &, ReadHandler), override);
    MAKE_MOCK2(commit, void(const Transaction &, CommitHandler), override);
    MAKE_MOCK4(watch, void(const std::string &, RowVersion, Milliseconds, WatchHandler), override);
};

ReadResult emptyScan()
{
    ReadResult result;
    result.available = true;
    result.asOf = 1;
    return result;
}

WatchResult answerOf(bool truncated)
{
    WatchResult result;
    result.available = true;
    result.asOf = 2;
    result.truncated = truncated;
    result.changes.push_back(WatchResult::Change{});
    return result;
}

} // namespace

TEST_CASE("a follower's rows are as new as its last complete answer shows")
{
    SimWorld world;
    SimLoop loop(&world);
    MockTable table;
    WatchableTable::WatchHandler answer;
    ALLOW_CALL(table, scan(trompeloeil::_, trompeloeil::_)).SIDE_EFFECT(_2(emptyScan()));
    ALLOW_CALL(table, watch(trompeloeil::_, trompeloeil::_, trompeloeil::_, trompeloeil::_))
        .LR_SIDE_EFFECT(answer = _4);
    CollectionFollower follower(&loop, &table, "servers", Milliseconds(700));
    CHECK(follower.confirmedAt() == Duration::zero());
    world.runFor(Milliseconds(100));
    const Duration scannedAt = loop.now().time_since_epoch();
    follower.start([](const std::vector<Row> &) {}, [](const std::vector<WatchResult::Change> &) {});
    CHECK(follower.confirmedAt() == scannedAt);

    // Neither a call without an answer nor one that leaves out changes shows the present rows.
    world.runFor(Milliseconds(500));
    answer(WatchResult{});
    world.runFor(Milliseconds(500));
    answer(answerOf(true));
    CHECK(follower.confirmedAt() == scannedAt);

    // An answer with changes may have been on its way since its call was sent.
    world.runFor(Milliseconds(500));
    const Duration watchedAt = loop.now().time_since_epoch() - Milliseconds(500);
    answer(answerOf(false));
    CHECK(follower.confirmedAt() == watchedAt);

    // One without changes was sent after the whole wait.
    const Duration sentAt = loop.now().time_since_epoch();
    WatchResult unchanged = answerOf(false);
    unchanged.changes.clear();
    world.runFor(Milliseconds(1000));
    answer(unchanged);
    CHECK(follower.confirmedAt() == sentAt + Milliseconds(700));
    world.runFor(Milliseconds(100));
    answer(unchanged);
    CHECK(follower.confirmedAt() == sentAt + Milliseconds(1000));
    world.runFor(Milliseconds(1));
}

// Guards against a revoked key that is served for longer than its bound: the wait of a watch was added to the time of
// an answer that the service had given early and that had been under way for long.
TEST_CASE("an answer without changes shows the rows as of its question, however late it arrives")
{
    SimWorld world;
    SimLoop loop(&world);
    MockTable table;
    WatchableTable::WatchHandler answer;
    ALLOW_CALL(table, scan(trompeloeil::_, trompeloeil::_)).SIDE_EFFECT(_2(emptyScan()));
    ALLOW_CALL(table, watch(trompeloeil::_, trompeloeil::_, trompeloeil::_, trompeloeil::_))
        .LR_SIDE_EFFECT(answer = _4);
    CollectionFollower follower(&loop, &table, "op", Milliseconds(700));
    CHECK(follower.askedAt() == Duration::zero());
    world.runFor(Milliseconds(100));
    follower.start([](const std::vector<Row> &) {}, [](const std::vector<WatchResult::Change> &) {});
    const Duration askedAt = loop.now().time_since_epoch();
    CHECK(follower.askedAt() == askedAt);
    world.runFor(Milliseconds(1200));
    WatchResult unchanged;
    unchanged.available = true;
    unchanged.asOf = 1;
    answer(unchanged);
    CHECK(follower.askedAt() == askedAt);

    world.runFor(Milliseconds(100)); // The next watch has been sent.
    const Duration nextAskedAt = askedAt + Milliseconds(1200);
    answer(answerOf(true)); // Leaves out changes.
    CHECK(follower.askedAt() == askedAt);
    world.runFor(Milliseconds(100));
    answer(answerOf(false));
    CHECK(follower.askedAt() >= nextAskedAt);
    CHECK(follower.askedAt() < loop.now().time_since_epoch());
}
