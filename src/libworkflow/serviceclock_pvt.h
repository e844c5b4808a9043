#pragma once

#include "fescueledge/types.h"

namespace fescueledge::workflow {

/// Bounds of the table service's steady clock, by which coordinators tell each other when leases end. All other times
/// are since boot of this VM; clocks of VMs and of the service may differ by clockDrift in rate.
class ServiceClock
{
public:
    /// Records that an answer to a call that was sent at @p sentAt and answered at @p receivedAt told @p time. Does
    /// nothing if @p time is zero, which means unknown.
    void record(Milliseconds time, Duration sentAt, Duration receivedAt);
    /// Whether an answer has told the time.
    bool isKnown() const
    {
        return m_time != Milliseconds::zero();
    }
    /// The earliest and the latest that the service's clock can show at @p now.
    Milliseconds earliest(Duration now) const;
    Milliseconds latest(Duration now) const;

private:
    Milliseconds m_time{0};
    Duration m_sentAt{0};
    Duration m_receivedAt{0};
};

} // namespace fescueledge::workflow
