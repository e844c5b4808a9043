#pragma once

#include "fescueledge/types.h"

#include <cstddef>
#include <vector>

namespace fescueledge {

/// Converts @p span to milliseconds, with fractions.
double toMs(Duration span);

/// A moving average of latencies that rises quickly with slow samples and falls slowly with fast ones. Without samples
/// it decays towards a base value, so that an avoided endpoint is tried again.
class DecayingLatency
{
public:
    void add(double ms, TimePoint now);
    /// The average at @p now, decayed towards @p baseMs; @p baseMs if there was no sample.
    double at(TimePoint now, double baseMs) const;

private:
    double m_ms = 0;
    bool m_hasSample = false;
    TimePoint m_updatedAt;
};

/// A sliding window of the latest latencies of a pool, for quantiles.
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
