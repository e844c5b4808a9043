#include "servingtrend_pvt.h"

#include <algorithm>

namespace fescueledge::workflow {

namespace {

/// Before the first gauges: loads swing by up to half, within ten seconds or more.
constexpr double firstLevelVariance = 0.5;
constexpr double firstSlopeVariance = 0.1;
/// How fast the slope may change, as variance per second.
constexpr double slopeNoise = 0.1;
/// A step that was not gauged for longer says nothing of its slope any more.
constexpr double longestGap = 2;

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

void ServingTrend::begin(double headroom, TimePoint now)
{
    m_known = true;
    m_level = headroom;
    m_slope = 0;
    m_levelVariance = firstLevelVariance;
    m_covariance = 0;
    m_slopeVariance = firstSlopeVariance;
    m_at = now;
}

double ServingTrend::at(TimePoint time) const
{
    return m_level + m_slope * std::clamp(secondsBetween(m_at, time), 0.0, longestGap);
}

double ServingTrend::leastWithin(TimePoint now, Duration ahead) const
{
    return std::min(at(now), at(now + ahead));
}

void ServingTrend::advance(TimePoint now)
{
    const double dt = secondsBetween(m_at, now);
    if (dt <= 0) {
        return;
    }
    if (dt > longestGap) {
        begin(at(now), now);
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
