#include "servingtrend_pvt.h"

#include <algorithm>

namespace fescueledge::workflow {

namespace {

/// Variances before the first gauge: loads vary by up to half, within ten seconds or more.
constexpr double initialLevelVariance = 0.5;
constexpr double initialSlopeVariance = 0.1;
/// How fast the slope may change, as variance per second.
constexpr double slopeNoise = 0.1;
/// After a longer gap between gauges the slope is no longer valid.
constexpr double maxGapSeconds = 2;

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

void ServingTrend::initialize(double headroom, TimePoint now)
{
    m_initialized = true;
    m_level = headroom;
    m_slope = 0;
    m_levelVariance = initialLevelVariance;
    m_covariance = 0;
    m_slopeVariance = initialSlopeVariance;
    m_at = now;
}

double ServingTrend::headroomAt(TimePoint time) const
{
    return m_level + m_slope * std::clamp(secondsBetween(m_at, time), 0.0, maxGapSeconds);
}

double ServingTrend::minHeadroomWithin(TimePoint now, Duration ahead) const
{
    return std::min(headroomAt(now), headroomAt(now + ahead));
}

void ServingTrend::advance(TimePoint now)
{
    const double dt = secondsBetween(m_at, now);
    if (dt <= 0) {
        return;
    }
    if (dt > maxGapSeconds) {
        initialize(headroomAt(now), now);
        return;
    }
    m_level += m_slope * dt;
    m_levelVariance += 2 * dt * m_covariance + dt * dt * m_slopeVariance + slopeNoise * dt * dt * dt / 3;
    m_covariance += dt * m_slopeVariance + slopeNoise * dt * dt / 2;
    m_slopeVariance += slopeNoise * dt;
    m_at = now;
}

void ServingTrend::correct(double error, double total)
{
    const double levelGain = m_levelVariance / total;
    const double slopeGain = m_covariance / total;
    m_level += levelGain * error;
    m_slope += slopeGain * error;
    m_slopeVariance -= slopeGain * m_covariance;
    m_covariance -= levelGain * m_covariance;
    m_levelVariance -= levelGain * m_levelVariance;
}

} // namespace fescueledge::workflow
