#include "sizeestimator_pvt.h"

#include <algorithm>

namespace fescueledge {

namespace {

constexpr double averageGain = 0.05; ///< Weight of one observation in the moving average.
constexpr double peakDecay = 0.999; ///< Factor applied to the peak with each observation.
constexpr double atLimitShare = 0.95; ///< Share of the limit from which the actual need may be larger.
constexpr double failureGrowth = 1.5; ///< Estimate after a failure at the limit, as a multiple of the limit.
constexpr std::int64_t maxMemoryOverDeclared = 8; ///< Largest memory allocation, as a multiple of the declared need.

} // namespace

void SizeEstimator::observe(const std::string &kind, const Resources &used)
{
    if (kind.empty() || used.memoryMb <= 0) {
        return;
    }
    const bool first = m_kinds.count(kind) == 0;
    Usage &usage = m_kinds[kind];
    const double cores = static_cast<double>(used.milliCores);
    const double memory = static_cast<double>(used.memoryMb);
    usage.milliCores = first ? cores : usage.milliCores + averageGain * (cores - usage.milliCores);
    usage.memoryPeakMb = std::max(memory, usage.memoryPeakMb * peakDecay);
}

void SizeEstimator::observeFailure(const std::string &kind, const Resources &used, const Resources &limit)
{
    const double memoryLimit = static_cast<double>(limit.memoryMb);
    if (kind.empty() || limit.memoryMb <= 0 || static_cast<double>(used.memoryMb) < atLimitShare * memoryLimit) {
        return;
    }
    Usage &usage = m_kinds[kind];
    usage.memoryPeakMb = std::max(usage.memoryPeakMb, failureGrowth * memoryLimit);
}

Resources SizeEstimator::allocationFor(const std::string &kind, const Resources &declared,
                                       const Resources &maxResources) const
{
    const auto it = m_kinds.find(kind);
    if (it == m_kinds.end()) {
        return declared;
    }
    Resources allocation = declared;
    const std::int64_t bound = std::min(maxResources.memoryMb, maxMemoryOverDeclared * declared.memoryMb);
    const std::int64_t estimatedMb = std::min(static_cast<std::int64_t>(it->second.memoryPeakMb), bound);
    allocation.memoryMb = std::max(declared.memoryMb, estimatedMb);
    return allocation;
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
