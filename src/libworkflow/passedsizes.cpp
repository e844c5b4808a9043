#include "passedsizes_pvt.h"

#include <algorithm>

namespace fescueledge::workflow {

namespace {

/// Long enough for a task to have waited until it gets a reservation.
constexpr Milliseconds interval{2500};

} // namespace

void PassedSizes::record(const Resources &need, TimePoint now)
{
    if (now >= m_current.since + interval) {
        m_last = m_current;
        m_current = Smallest{};
        m_current.since = now;
    }
    m_current.milliCores = std::min(m_current.milliCores, need.milliCores);
    m_current.memoryMb = std::min(m_current.memoryMb, need.memoryMb);
}

bool PassedSizes::havePassed(const Resources &need, TimePoint now) const
{
    for (const Smallest &smallest : {m_current, m_last}) {
        const bool isRecent = now < smallest.since + 2 * interval;
        if (isRecent && (need.milliCores > smallest.milliCores || need.memoryMb > smallest.memoryMb)) {
            return true;
        }
    }
    return false;
}

} // namespace fescueledge::workflow
