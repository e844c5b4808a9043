#pragma once

#include <map>
#include <string>
#include <utility>

namespace fescueledge {

/// How much of a VM the running attempts of each kind use: kind to share of the processors.
using InterferenceExposure = std::map<std::string, double>;

/// Learns by how much a kind of task slows the service of a pool, from lagging p99 measurements. Not thread-safe.
///
/// The model: p99 / target = base + sum over kinds of slope * exposure. Slopes are corrected by normalised least mean
/// squares, are bounded, and fade towards the slope of a kind that was never seen.
class InterferenceEstimator
{
public:
    /// Takes in that @p ratio (p99 over target) was measured while @p exposure ran beside the service of @p pool.
    void observe(const std::string &pool, const InterferenceExposure &exposure, double ratio);
    /// The slope of @p kind: rise of p99 over target when such tasks use the whole VM.
    double slope(const std::string &pool, const std::string &kind) const;
    /// The predicted ratio of p99 over target.
    double predict(const std::string &pool, const InterferenceExposure &exposure) const;

private:
    std::map<std::string, double> m_base;
    std::map<std::pair<std::string, std::string>, double> m_slopes;
};

} // namespace fescueledge
