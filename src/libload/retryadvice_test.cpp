// Load pattern: many callers are refused together in an outage.
#include "fescueledge/load/retryadvice.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

using namespace fescueledge;
using namespace fescueledge::load;
using std::chrono::seconds;

namespace {

const TimePoint begin{std::chrono::hours(1)};
constexpr Milliseconds noTimeout{0};

} // namespace

TEST_CASE("a caller that is refused alone in a short outage retries after a second")
{
    RetryAdvice advice(1);
    for (int i = 0; i < 5; ++i) {
        CHECK(advice.delayFor(std::chrono::milliseconds(900), noTimeout, begin + i * seconds(10)) == seconds(1));
    }
}

// Guards against callers that return many times in a long outage, and against delays without bound.
TEST_CASE("the delay grows as an outage lasts, to a bound")
{
    RetryAdvice advice(1);
    CHECK(advice.delayFor(seconds(8), noTimeout, begin) == seconds(2));
    CHECK(advice.delayFor(seconds(12), noTimeout, begin + seconds(10)) == seconds(3));
    CHECK(advice.delayFor(std::chrono::hours(1), noTimeout, begin + seconds(20)) == seconds(4));
}

// Guards against callers that are refused together and return together.
TEST_CASE("many callers that are refused at once get different delays")
{
    RetryAdvice advice(1);
    std::map<std::chrono::seconds::rep, int> byDelay;
    for (int i = 0; i < 200; ++i) {
        ++byDelay[advice.delayFor(seconds(1), noTimeout, begin).count()];
    }
    CHECK(byDelay.size() == 4);
    for (const auto &[delay, callers] : byDelay) {
        CHECK(callers < 120);
    }
    CHECK(advice.delayFor(seconds(1), noTimeout, begin + seconds(5)) == seconds(1));
}

// Guards against a delay after which the caller no longer waits.
TEST_CASE("the delay leaves the caller time for its retry")
{
    RetryAdvice advice(1);
    for (int i = 0; i < 200; ++i) {
        const seconds delay = advice.delayFor(seconds(60), Milliseconds(3000), begin);
        CHECK(delay + Milliseconds(300) <= Milliseconds(3000));
        CHECK(delay >= seconds(1));
    }
    CHECK(advice.delayFor(seconds(60), Milliseconds(900), begin) == seconds(0));
    CHECK(advice.delayFor(seconds(60), Milliseconds(100), begin) == seconds(0));
}
