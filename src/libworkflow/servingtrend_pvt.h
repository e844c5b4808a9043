#pragma once

#include "fescueledge/types.h"

namespace fescueledge::workflow {

/// Headroom that a serving step would have without fillers, followed through the swings of its own load.
///
/// Headroom is target / tail: below 1 the tail is over its target. The tail of a queue is its service time divided by
/// its idle share, so headroom falls in proportion to load. A Kalman filter follows its level and its slope.
class ServingTrend
{
public:
    /// Whether a gauge was taken in yet.
    bool isInitialized() const
    {
        return m_initialized;
    }
    /// Starts from what is usual for its image.
    void initialize(double headroom, TimePoint now);
    /// Headroom expected at @p time, which is now or a moment ahead.
    double headroomAt(TimePoint time) const;
    /// The least that is expected from @p now until @p ahead later.
    double minHeadroomWithin(TimePoint now, Duration ahead) const;

    /// Moves the estimate to @p now; it gets less certain meanwhile.
    void advance(TimePoint now);
    /// Variance of the level.
    double variance() const
    {
        return m_levelVariance;
    }
    /// Corrects level and slope: @p error of a gauge whose total variance was @p total.
    void correct(double error, double total);

private:
    bool m_initialized = false;
    double m_level = 0;
    double m_slope = 0; ///< Per second.
    double m_levelVariance = 0;
    double m_covariance = 0;
    double m_slopeVariance = 0;
    TimePoint m_at{};
};

} // namespace fescueledge::workflow
