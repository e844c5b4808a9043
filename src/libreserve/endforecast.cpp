#include "fescueledge/reserve/endforecast.h"

#include <algorithm>

namespace fescueledge::reserve {

namespace {

/// Weight of each ended task in the running average.
constexpr double smoothing = 0.2;
/// Tasks that fail at once, or hang, say little of the others.
constexpr double minFactor = 0.1;
constexpr double maxFactor = 10;
/// Below this, the rate at which a task has progressed is too uncertain to be extrapolated.
constexpr int minPercent = 20;
constexpr int allPercent = 100;

} // namespace

void EndForecast::record(const std::string &kind, Milliseconds estimate, Duration took)
{
    if (estimate.count() <= 0) {
        return;
    }
    const double observed = std::chrono::duration<double>(took) / std::chrono::duration<double>(estimate);
    const double factor = std::clamp(observed, minFactor, maxFactor);
    const auto [it, isNew] = m_factors.emplace(kind, factor);
    if (!isNew) {
        it->second += smoothing * (factor - it->second);
    }
}

Duration EndForecast::expected(const std::string &kind, Milliseconds estimate) const
{
    const auto it = m_factors.find(kind);
    const double factor = it == m_factors.end() ? 1 : it->second;
    return std::chrono::duration_cast<Duration>(Duration(estimate) * factor);
}

Duration EndForecast::remaining(const std::string &kind, Milliseconds estimate, Duration elapsed, int percent) const
{
    if (percent >= minPercent && percent <= allPercent) {
        return elapsed * (allPercent - percent) / percent;
    }
    return std::max(Duration::zero(), expected(kind, estimate) - elapsed);
}

} // namespace fescueledge::reserve
