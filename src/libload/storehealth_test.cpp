// Load pattern: the store answers no call for seconds, or is slow, loses answers or refuses calls.
#include "fescueledge/load/storehealth.h"

#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::load;

namespace {

using Ms = std::chrono::milliseconds;

const TimePoint begin{std::chrono::hours(1)};

/// Sends a call every 100 ms from @p from until @p until, none of which is answered.
void sendCalls(StoreHealth *health, Ms from, Ms until)
{
    for (Ms at = from; at < until; at += Ms(100)) {
        health->recordSent(begin + at);
    }
}

} // namespace

TEST_CASE("a store that answers no call is silent after less than a second, until its first answer")
{
    StoreHealth health;
    sendCalls(&health, Ms(0), Ms(1000));
    CHECK_FALSE(health.isSilent(begin + Ms(699)));
    CHECK(health.isSilent(begin + Ms(900)));
    CHECK(health.unansweredFor(begin + Ms(900)) == Ms(900));
    health.recordAnswer(begin + Ms(950));
    CHECK_FALSE(health.isSilent(begin + Ms(5000)));
    CHECK_FALSE(health.isInDoubt(begin + Ms(5000)));
}

// Guards against refusals because of a single call: one answer in three may be lost.
TEST_CASE("few unanswered calls are a doubt, not a silence")
{
    StoreHealth health;
    sendCalls(&health, Ms(0), Ms(400));
    CHECK_FALSE(health.isInDoubt(begin + Ms(119)));
    CHECK(health.isInDoubt(begin + Ms(120)));
    CHECK_FALSE(health.isSilent(begin + Ms(5000)));
}

// Guards against refusals because of many writes that a pause of the store holds up at once.
TEST_CASE("many calls at once that wait for a moment are no silence")
{
    StoreHealth health;
    for (int i = 0; i < 10; ++i) {
        health.recordSent(begin);
    }
    CHECK_FALSE(health.isSilent(begin + Ms(650)));
}

// Guards against refusals while the store takes 360 ms for each call.
TEST_CASE("calls that have not waited for longer than a slow store takes do not count")
{
    StoreHealth health;
    health.recordReport("node-1", 2, begin);
    sendCalls(&health, Ms(0), Ms(360));
    CHECK_FALSE(health.isSilent(begin + Ms(390)));
}

TEST_CASE("reports of several nodes shorten the wait, and do not replace calls of this node")
{
    StoreHealth health;
    health.recordReport("node-1", 1, begin);
    health.recordReport("node-2", 1, begin);
    CHECK(health.othersSilent(begin) == 2);
    CHECK(health.othersSilent(begin, "node-1") == 1);
    CHECK(health.isInDoubt(begin));
    CHECK_FALSE(health.isSilent(begin));
    sendCalls(&health, Ms(0), Ms(200));
    CHECK(health.isSilent(begin + Ms(500)));
    health.recordAnswer(begin + Ms(500));
    CHECK_FALSE(health.isSilent(begin + Ms(500)));
}

TEST_CASE("one node's report alone does not shorten the wait")
{
    StoreHealth health;
    health.recordReport("node-1", 1, begin);
    sendCalls(&health, Ms(0), Ms(200));
    CHECK_FALSE(health.isSilent(begin + Ms(600)));
}

// Guards against a report that outlives the outage that it tells of.
TEST_CASE("a report holds for a second, or until the next one of its node")
{
    StoreHealth health;
    health.recordReport("node-1", 3, begin);
    CHECK(health.othersSilent(begin + Ms(1000)) == 3);
    CHECK(health.othersSilent(begin + Ms(1001)) == 0);
    health.recordReport("node-1", 3, begin);
    health.recordReport("node-1", 0, begin + Ms(100));
    CHECK(health.othersSilent(begin + Ms(100)) == 0);
}

// Guards against refused connections of this node that are taken for a silent store.
TEST_CASE("calls that are refused at once say nothing about the store")
{
    StoreHealth health;
    for (Ms at{0}; at < Ms(3000); at += Ms(100)) {
        health.recordSent(begin + at);
        health.recordFailure(begin + at, begin + at + Ms(1));
    }
    CHECK_FALSE(health.isInDoubt(begin + Ms(3000)));
    CHECK_FALSE(health.isSilent(begin + Ms(3000)));
}

TEST_CASE("calls that time out count as unanswered")
{
    StoreHealth health;
    for (Ms at{0}; at < Ms(600); at += Ms(100)) {
        health.recordSent(begin + at);
    }
    for (Ms at{0}; at < Ms(600); at += Ms(100)) {
        health.recordFailure(begin + at, begin + at + Ms(500));
    }
    CHECK(health.isSilent(begin + Ms(1100)));
}
