#include "outlierdetector_pvt.h"

#include <algorithm>
#include <cmath>

namespace fescueledge {

namespace {

constexpr int consecutiveFailuresToEject = 5;
constexpr Milliseconds baseEjectionTimeout{1000};
constexpr int maxEjectionDoublings = 5;
constexpr double failureShareWeight = 0.2;
constexpr double failureShareDecaySeconds = 10.0;

} // namespace

OutlierDetector::State OutlierDetector::state(TimePoint now) const
{
    if (!m_isUnhealthy) {
        return State::Healthy;
    }
    return now < m_ejectedUntil ? State::Ejected : State::Probing;
}

void OutlierDetector::addSuccess(TimePoint now)
{
    m_failureShare = failureShare(now) * (1 - failureShareWeight);
    m_updatedAt = now;
    m_consecutiveFailures = 0;
    m_consecutiveEjections = 0;
    m_isUnhealthy = false;
}

bool OutlierDetector::addFailure(TimePoint now)
{
    const double share = failureShare(now);
    m_failureShare = share + (1 - share) * failureShareWeight;
    m_updatedAt = now;
    ++m_consecutiveFailures;
    return m_consecutiveFailures >= consecutiveFailuresToEject && state(now) != State::Ejected;
}

void OutlierDetector::eject(TimePoint now)
{
    m_isUnhealthy = true;
    m_ejectedUntil = now + baseEjectionTimeout * (1 << std::min(m_consecutiveEjections, maxEjectionDoublings));
    ++m_consecutiveEjections;
}

double OutlierDetector::failureShare(TimePoint now) const
{
    const double seconds = std::chrono::duration<double>(now - m_updatedAt).count();
    return m_failureShare * std::exp(-seconds / failureShareDecaySeconds);
}

} // namespace fescueledge
