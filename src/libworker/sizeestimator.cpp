#include "sizeestimator_pvt.h"

#include <algorithm>

namespace fescueledge {

namespace {

constexpr double averageGain = 0.05; ///< Weight of one observation in the moving average.
constexpr double peakDecay = 0.999; ///< Factor for each observation by which an old peak fades.
constexpr double atLimit = 0.95; ///< Share of the limit from which the true need may be larger.
constexpr double growth = 1.5; ///< Growth of the estimate when the limit was reached.

} // namespace

void SizeEstimator::observe(const std::string &kind, const Resources &used, const Resources &limit)
{
    if (kind.empty() || used.memoryMb <= 0) {
        return;
    }
    const bool first = m_kinds.count(kind) == 0;
    Learnt &learnt = m_kinds[kind];
    const double cores = static_cast<double>(used.milliCores);
    double memory = static_cast<double>(used.memoryMb);
    if (limit.memoryMb > 0 && memory >= atLimit * static_cast<double>(limit.memoryMb)) {
        memory = growth * static_cast<double>(limit.memoryMb);
    }
    learnt.milliCores = first ? cores : learnt.milliCores + averageGain * (cores - learnt.milliCores);
    learnt.memoryPeakMb = std::max(memory, learnt.memoryPeakMb * peakDecay);
}

Resources SizeEstimator::charge(const std::string &kind, const Resources &declared, const Resources &most) const
{
    const auto it = m_kinds.find(kind);
    if (it == m_kinds.end()) {
        return declared;
    }
    Resources charge = declared;
    const std::int64_t learnt = std::min(static_cast<std::int64_t>(it->second.memoryPeakMb), most.memoryMb);
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
