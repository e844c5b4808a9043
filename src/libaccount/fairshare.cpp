#include "fescueledge/account/fairshare.h"

#include <algorithm>

namespace fescueledge::account {

namespace {

/// Weights of 0 are not refused everywhere; this one goes behind all others.
constexpr double minWeight = 1e-6;

double fraction(std::int64_t used, std::int64_t total)
{
    return total <= 0 ? 0 : static_cast<double>(used) / static_cast<double>(total);
}

bool isWithin(std::int64_t used, std::int64_t need, std::int64_t limit)
{
    return limit <= 0 || need <= 0 || used + need <= limit;
}

} // namespace

double weightedShare(const Resources &used, const Resources &total, double weight)
{
    const double share = std::max({fraction(used.milliCores, total.milliCores), fraction(used.memoryMb, total.memoryMb),
                                   fraction(used.accelerators, total.accelerators)});
    return share / std::max(weight, minWeight);
}

bool isWithinLimit(const Resources &used, const Resources &need, const Resources &limit)
{
    return isWithin(used.milliCores, need.milliCores, limit.milliCores)
        && isWithin(used.memoryMb, need.memoryMb, limit.memoryMb)
        && isWithin(used.accelerators, need.accelerators, limit.accelerators);
}

bool isLimited(const Resources &limit)
{
    return limit.milliCores > 0 || limit.memoryMb > 0 || limit.accelerators > 0;
}

} // namespace fescueledge::account
