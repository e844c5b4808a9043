#include "interferenceestimator_pvt.h"

#include <algorithm>

namespace fescueledge {

namespace {

constexpr double initialBase = 0.3; ///< p99 over target of a service that runs alone, before any measurement.
constexpr double initialSlope = 0.5; ///< Slope assumed for an unknown kind.
constexpr double maxSlope = 20;
constexpr double maxRatio = 10; ///< Larger measurements are clamped to this.
constexpr double slopeGain = 0.1; ///< Share of the error that one measurement corrects.
constexpr double baseGain = 0.02;
constexpr double slopeDecay = 0.0005; ///< Share by which each measurement moves a slope back towards `initialSlope`.
constexpr double minNorm = 0.05;

} // namespace

void InterferenceEstimator::observe(const std::string &pool, const InterferenceExposure &exposure, double ratio)
{
    const double error = std::min(ratio, maxRatio) - predict(pool, exposure);
    double norm = minNorm;
    for (auto it = exposure.begin(); it != exposure.end(); ++it) {
        norm += it->second * it->second;
    }
    for (auto it = exposure.begin(); it != exposure.end(); ++it) {
        double next = slope(pool, it->first) + slopeGain * error * it->second / norm;
        next += slopeDecay * (initialSlope - next);
        m_slopes[{pool, it->first}] = std::clamp(next, 0.0, maxSlope);
    }
    double &base = m_base.emplace(pool, initialBase).first->second;
    base = std::clamp(base + baseGain * error, 0.0, 1.0);
}

double InterferenceEstimator::slope(const std::string &pool, const std::string &kind) const
{
    const auto it = m_slopes.find({pool, kind});
    return it == m_slopes.end() ? initialSlope : it->second;
}

double InterferenceEstimator::predict(const std::string &pool, const InterferenceExposure &exposure) const
{
    const auto base = m_base.find(pool);
    double ratio = base == m_base.end() ? initialBase : base->second;
    for (auto it = exposure.begin(); it != exposure.end(); ++it) {
        ratio += slope(pool, it->first) * it->second;
    }
    return ratio;
}

} // namespace fescueledge
