#pragma once

#include "fescueledge/types.h"

namespace fescueledge {

/// Detects an endpoint that fails all requests. An ejected endpoint gets no requests for a time that doubles with each
/// ejection, then one probe at a time until a probe succeeds.
class OutlierDetector
{
public:
    enum class State {
        Healthy,
        Ejected,
        Probing, ///< One request at a time may go to it.
    };

    State state(TimePoint now) const;
    void addSuccess(TimePoint now);
    /// Counts a failure. Returns true if the endpoint should be ejected now.
    bool addFailure(TimePoint now);
    void eject(TimePoint now);
    /// Recent share of failures.
    double failureShare(TimePoint now) const;

private:
    int m_consecutiveFailures = 0;
    int m_consecutiveEjections = 0; ///< Without a success in between.
    bool m_isUnhealthy = false;
    TimePoint m_ejectedUntil;
    double m_failureShare = 0;
    TimePoint m_updatedAt;
};

} // namespace fescueledge
