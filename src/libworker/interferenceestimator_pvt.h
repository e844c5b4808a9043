#pragma once

#include <map>
#include <string>
#include <utility>

namespace fescueledge {

/// Maps a kind of task to the share of a VM's processors that its running attempts use.
using InterferenceExposure = std::map<std::string, double>;

/// Estimates from lagging p99 measurements how much a kind of task slows the service of a pool. Not thread-safe.
///
/// The model: p99 / target = base + sum over kinds of slope * exposure. Slopes are updated by normalised least mean
/// squares, are bounded, and decay towards the slope assumed for an unknown kind.
class InterferenceEstimator
{
public:
    /// Updates the model with @p ratio (p99 over target), measured at @p exposure of the service of @p pool.
    void observe(const std::string &pool, const InterferenceExposure &exposure, double ratio);
    /// Returns the slope of @p kind: the increase of p99 over target when such tasks use the whole VM.
    double slope(const std::string &pool, const std::string &kind) const;
    /// Returns the predicted ratio of p99 over target.
    double predict(const std::string &pool, const InterferenceExposure &exposure) const;

private:
    std::map<std::string, double> m_base;
    std::map<std::pair<std::string, std::string>, double> m_slopes;
};

} // namespace fescueledge
