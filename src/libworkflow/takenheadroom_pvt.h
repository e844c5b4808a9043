#pragma once

#include <cmath>

namespace fescueledge::workflow {

/// Headroom that fillers take from a serving task, and its variance.
struct TakenHeadroom
{
    /// Standard deviations between the expected value and the worst case.
    static constexpr double worstCaseDeviations = 1;

    double expected = 0;
    double variance = 0;

    double worstCase() const
    {
        return expected + worstCaseDeviations * std::sqrt(variance);
    }
    TakenHeadroom &operator+=(const TakenHeadroom &other)
    {
        expected += other.expected;
        variance += other.variance;
        return *this;
    }
};

} // namespace fescueledge::workflow
