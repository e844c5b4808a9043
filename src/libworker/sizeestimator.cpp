#include "sizeestimator_pvt.h"

#include <algorithm>

namespace fescueledge {

namespace {

constexpr double averageGain = 0.05; ///< Weight of one observation in the moving average.
constexpr double peakDecay = 0.999; ///< Factor for each observation by which an old peak fades.
constexpr double atLimit = 0.95; ///< Share of the limit from which the true need may be larger.
constexpr double growth = 1.5; ///< Growth of the estimate when an attempt failed at its limit.
constexpr std::int64_t maxOverDeclared = 8; ///< Most memory charged, as a multiple of the declared need.

} // namespace

void SizeEstimator::observe(const std::string &kind, const Resources &used)
{
    if (kind.empty() || used.memoryMb <= 0) {
        return;
    }
    const bool first = m_kinds.count(kind) == 0;
    Learnt &learnt = m_kinds[kind];
    const double cores = static_cast<double>(used.milliCores);
    const double memory = static_cast<double>(used.memoryMb);
    learnt.milliCores = first ? cores : learnt.milliCores + averageGain * (cores - learnt.milliCores);
    learnt.memoryPeakMb = std::max(memory, learnt.memoryPeakMb * peakDecay);
}

void SizeEstimator::observeFailure(const std::string &kind, const Resources &used, const Resources &limit)
{
    const double memoryLimit = static_cast<double>(limit.memoryMb);
    if (kind.empty() || limit.memoryMb <= 0 || static_cast<double>(used.memoryMb) < atLimit * memoryLimit) {
        return;
    }
    Learnt &learnt = m_kinds[kind];
    learnt.memoryPeakMb = std::max(learnt.memoryPeakMb, growth * memoryLimit);
}

Resources SizeEstimator::charge(const std::string &kind, const Resources &declared, const Resources &most) const
{
    const auto it = m_kinds.find(kind);
    if (it == m_kinds.end()) {
        return declared;
    }
    Resources charge = declared;
    const std::int64_t bound = std::min(most.memoryMb, maxOverDeclared * declared.memoryMb);
    const std::int64_t learnt = std::min(static_cast<std::int64_t>(it->second.memoryPeakMb), bound);
    charge.memoryMb = std::max(declared.memoryMb, learnt);
    return charge;
}

Resources SizeEstimator::expected(const std::string &kind, const Resources &declared) const
{
    const auto it = m_kinds.find(kind);
    if (it == m_kinds.end()) {
        return declared;
    }
    Resources expected = declared;
    expected.milliCores = static_cast<std::int64_t>(it->second.milliCores);
    expected.memoryMb = static_cast<std::int64_t>(it->second.memoryPeakMb);
    return expected;
}

} // namespace fescueledge
