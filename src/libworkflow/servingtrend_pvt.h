#pragma once

#include "fescueledge/types.h"

namespace fescueledge::workflow {

/// Headroom that a serving step would have without fillers, tracked while its own load varies.
///
/// Headroom is target / tail: below 1 the tail is over its target. The tail of a queue is its service time divided by
/// its idle share, so headroom falls in proportion to load. A Kalman filter follows its level and its slope.
class ServingTrend
{
public:
    /// Whether a gauge has been received yet.
    bool isInitialized() const
    {
        return m_initialized;
    }
    /// Starts from @p headroom, which is usual for its image.
    void initialize(double headroom, TimePoint now);
    /// Expected headroom at @p time, which is now or shortly ahead.
    double headroomAt(TimePoint time) const;
    /// Minimum expected headroom from @p now until @p ahead later.
    double minHeadroomWithin(TimePoint now, Duration ahead) const;

    /// Predicts the estimate for @p now; its variance grows with the time since the last gauge.
    void advance(TimePoint now);
    /// Variance of the level.
    double variance() const
    {
        return m_levelVariance;
    }
    /// Corrects level and slope by @p error of a gauge whose total variance was @p total.
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
