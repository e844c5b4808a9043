#include "outlierdetector_pvt.h"

#include <algorithm>
#include <cmath>

namespace fescueledge {

namespace {

constexpr int failuresToEject = 5;
constexpr Milliseconds firstEjection{1000};
constexpr int maxDoublings = 5;
constexpr double shareWeight = 0.2;
constexpr double shareAgingSeconds = 10.0;

} // namespace

OutlierDetector::State OutlierDetector::state(TimePoint now) const
{
    if (!m_isOut) {
        return State::Healthy;
    }
    return now < m_ejectedUntil ? State::Ejected : State::Probing;
}

void OutlierDetector::addSuccess(TimePoint now)
{
    m_failureShare = failureShare(now) * (1 - shareWeight);
    m_updated = now;
    m_consecutive = 0;
    m_ejections = 0;
    m_isOut = false;
}

bool OutlierDetector::addFailure(TimePoint now)
{
    const double share = failureShare(now);
    m_failureShare = share + (1 - share) * shareWeight;
    m_updated = now;
    ++m_consecutive;
    return m_consecutive >= failuresToEject && state(now) != State::Ejected;
}

void OutlierDetector::eject(TimePoint now)
{
    m_isOut = true;
    m_ejectedUntil = now + firstEjection * (1 << std::min(m_ejections, maxDoublings));
    ++m_ejections;
}

double OutlierDetector::failureShare(TimePoint now) const
{
    const double seconds = std::chrono::duration<double>(now - m_updated).count();
    return m_failureShare * std::exp(-seconds / shareAgingSeconds);
}

} // namespace fescueledge
