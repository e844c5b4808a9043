#pragma once

#include "fescueledge/types.h"

#include <cstddef>
#include <vector>

namespace fescueledge {

/// A duration in milliseconds as a real number.
double toMs(Duration span);

/// An average of latencies that rises at once with a slow sample, falls slowly with fast ones and, without samples,
/// ages towards a base, so that an avoided endpoint is tried again.
class DecayingLatency
{
public:
    void add(double ms, TimePoint now);
    /// The average at @p now, aged towards @p baseMs; @p baseMs if there was no sample.
    double at(TimePoint now, double baseMs) const;

private:
    double m_ms = 0;
    bool m_hasSample = false;
    TimePoint m_updatedAt;
};

/// The latest latencies of a pool, for quantiles.
class LatencyWindow
{
public:
    void add(double ms);
    /// The median; 0 before there are samples.
    double median() const;
    /// The latency after which a request counts as slow; 0 before there are enough samples.
    double slowThreshold() const;

private:
    void update();

    std::vector<double> m_samples;
    std::size_t m_next = 0;
    std::size_t m_samplesSinceUpdate = 0;
    double m_median = 0;
    double m_slowThreshold = 0;
};

} // namespace fescueledge
