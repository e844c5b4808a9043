#include "latencytracker_pvt.h"

#include <algorithm>
#include <cmath>

namespace fescueledge {

namespace {

constexpr double riseWeight = 0.5;
constexpr double fallWeight = 0.15;
constexpr double decaySeconds = 4.0;
constexpr std::size_t windowSize = 512;
constexpr std::size_t samplesPerUpdate = 32;
constexpr double slowQuantile = 0.95;

double quantile(std::vector<double> &samples, double q)
{
    const std::size_t n = std::min(samples.size() - 1, static_cast<std::size_t>(q * samples.size()));
    std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(n), samples.end());
    return samples[n];
}

} // namespace

double toMs(Duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

void DecayingLatency::add(double ms, TimePoint now)
{
    if (!m_hasSample) {
        m_ms = ms;
        m_hasSample = true;
    } else {
        m_ms += (ms - m_ms) * (ms > m_ms ? riseWeight : fallWeight);
    }
    m_updatedAt = now;
}

double DecayingLatency::at(TimePoint now, double baseMs) const
{
    if (!m_hasSample) {
        return baseMs;
    }
    const double seconds = std::chrono::duration<double>(now - m_updatedAt).count();
    return baseMs + (m_ms - baseMs) * std::exp(-seconds / decaySeconds);
}

void LatencyWindow::add(double ms)
{
    if (m_samples.size() < windowSize) {
        m_samples.push_back(ms);
    } else {
        m_samples[m_next] = ms;
        m_next = (m_next + 1) % windowSize;
    }
    if (++m_samplesSinceUpdate >= samplesPerUpdate) {
        update();
    }
}

void LatencyWindow::update()
{
    m_samplesSinceUpdate = 0;
    std::vector<double> samples = m_samples;
    m_slowThreshold = quantile(samples, slowQuantile);
    m_median = quantile(samples, 0.5);
}

double LatencyWindow::median() const
{
    return m_median;
}

double LatencyWindow::slowThreshold() const
{
    return m_slowThreshold;
}

} // namespace fescueledge
