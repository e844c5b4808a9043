#pragma once

#include <cmath>

namespace fescueledge::workflow {

/// Headroom that fillers take from a serving task, and how uncertain that is.
struct TakenHeadroom
{
    /// Standard deviations between what is expected and the worst that is reckoned with.
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
