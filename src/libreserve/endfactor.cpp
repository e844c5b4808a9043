#include "fescueledge/reserve/endfactor.h"

#include <algorithm>

namespace fescueledge::reserve {

namespace {

/// From this number on, each ended task has the same weight, so that the average follows changes.
constexpr std::uint32_t maxCount = 5;
/// Tasks that fail at once, or hang, say little of the others.
constexpr double minFactor = 0.1;
constexpr double maxFactor = 10;

} // namespace

void EndFactor::record(Milliseconds estimate, Duration took)
{
    if (estimate.count() <= 0) {
        return;
    }
    const double observed = std::chrono::duration<double>(took) / std::chrono::duration<double>(estimate);
    m_count = std::min(m_count + 1, maxCount);
    const double factor = std::clamp(observed, minFactor, maxFactor);
    m_value = m_count == 1 ? factor : m_value + (factor - m_value) / m_count;
}

} // namespace fescueledge::reserve
