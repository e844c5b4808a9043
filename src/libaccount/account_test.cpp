// Shares, limits and rates of client accounts.
#include "fescueledge/account/accountusage.h"
#include "fescueledge/account/fairshare.h"
#include "fescueledge/account/rateconformance.h"

#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::account;

TEST_CASE("a weighted share is the largest share of any resource divided by the weight")
{
    const Resources total{1000, 1000, 10};
    CHECK(weightedShare({100, 200, 0}, total, 1) == Approx(0.2));
    CHECK(weightedShare({100, 200, 0}, total, 4) == Approx(0.05));
    CHECK(weightedShare({0, 0, 5}, total, 1) == Approx(0.5));
    CHECK(weightedShare({100, 0, 0}, Resources{}, 1) == Approx(0.0));
}

TEST_CASE("a limit of 0 limits nothing, and what is not needed is not checked")
{
    CHECK(isWithinLimit({900, 0, 0}, {100, 1, 0}, {1000, 0, 0}));
    CHECK_FALSE(isWithinLimit({901, 0, 0}, {100, 0, 0}, {1000, 0, 0}));
    CHECK(isWithinLimit({2000, 0, 0}, {0, 10, 0}, {1000, 100, 0}));
    CHECK_FALSE(isLimited({}));
    CHECK(isLimited({0, 0, 1}));
}

TEST_CASE("usage is what was charged and not released")
{
    AccountUsage usage;
    usage.charge("kaje", {100, 10, 0});
    usage.charge("kaje", {50, 5, 1});
    usage.release("kaje", {100, 10, 0});
    usage.release("unknown", {1, 1, 1});
    CHECK(usage.usage("kaje") == Resources{50, 5, 1});
    usage.release("kaje", {50, 5, 1});
    CHECK(usage.all().empty());
}

// Load: one account of twenty submits 7.5 times its usual for 6.5 s. Guards against its jobs counting like those of the
// others, which then wait behind them.
TEST_CASE("of a burst only what the rate allows conforms")
{
    RateConformance rates;
    const TimePoint begin{std::chrono::seconds(100)};
    int conforming = 0;
    for (int i = 0; i < 98; ++i) { // 15 jobs a second at a rate of 2.
        conforming += rates.conforms("burst", 2, begin + Milliseconds(66 * i)) ? 1 : 0;
    }
    CHECK(conforming >= 13);
    CHECK(conforming <= 18);
    for (int i = 0; i < 13; ++i) {
        CHECK(rates.conforms("steady", 2, begin + Milliseconds(500 * i)));
    }
}

TEST_CASE("a few jobs at once conform, and jobs that were read out of order are counted too")
{
    RateConformance rates;
    const TimePoint at{std::chrono::seconds(100)};
    CHECK(rates.conforms("small", 0.1, at));
    CHECK(rates.conforms("small", 0.1, at - std::chrono::seconds(5)));
    CHECK(rates.conforms("small", 0.1, at));
    CHECK(rates.conforms("small", 0.1, at));
    CHECK_FALSE(rates.conforms("small", 0.1, at - std::chrono::seconds(9)));
    CHECK(rates.conforms("small", 0.1, at + std::chrono::seconds(10)));
}
