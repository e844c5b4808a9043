#include "fescueledge/reserve/endforecast.h"

#include <algorithm>

namespace fescueledge::reserve {

namespace {

/// Below this, the rate at which a task has progressed is too uncertain to be extrapolated.
constexpr int minPercent = 20;
constexpr int allPercent = 100;
/// An overdue task that counted as ending at once would keep a reservation from ever being given up.
constexpr int overdueDivisor = 4;

} // namespace

void EndForecast::record(const std::string &kind, Milliseconds estimate, Duration took)
{
    if (estimate.count() > 0) {
        m_factors[kind].record(estimate, took);
    }
}

Duration EndForecast::expected(const std::string &kind, Milliseconds estimate, const EndFactor &ofStep) const
{
    double factor = ofStep.value();
    if (!ofStep.isKnown()) {
        const auto it = m_factors.find(kind);
        factor = it == m_factors.end() ? 1 : it->second.value();
    }
    return std::chrono::duration_cast<Duration>(Duration(estimate) * factor);
}

Duration EndForecast::remaining(const std::string &kind, Milliseconds estimate, Duration elapsed, int percent,
                                const EndFactor &ofStep) const
{
    // A task that reports all of it and goes on may do so for long: some report it as soon as they are at work.
    if (percent >= minPercent && percent < allPercent) {
        return elapsed * (allPercent - percent) / percent;
    }
    return std::max(elapsed / overdueDivisor, expected(kind, estimate, ofStep) - elapsed);
}

} // namespace fescueledge::reserve
