#include "serviceclock_pvt.h"

#include "fleettable_pvt.h"

namespace fescueledge::workflow {

void ServiceClock::record(Milliseconds time, Duration sentAt, Duration receivedAt)
{
    if (time != Milliseconds::zero()) {
        m_time = time;
        m_sentAt = sentAt;
        m_receivedAt = receivedAt;
    }
}

Milliseconds ServiceClock::earliest(Duration now) const
{
    return m_time + std::chrono::duration_cast<Milliseconds>((now - m_receivedAt) * (1 - clockDrift));
}

Milliseconds ServiceClock::latest(Duration now) const
{
    return m_time + std::chrono::ceil<Milliseconds>((now - m_sentAt) * (1 + clockDrift));
}

} // namespace fescueledge::workflow
