#include "fescueledge/account/rateconformance.h"

#include <algorithm>

namespace fescueledge::account {

namespace {

/// Jobs of an account come in random bursts: as many as it may submit in this time conform at once ...
constexpr std::chrono::seconds burstSpan{2};
/// ... and as many as these, for accounts with a small rate.
constexpr double minBurst = 4;

} // namespace

bool RateConformance::conforms(const std::string &account, double perSecond, TimePoint at)
{
    Bucket &bucket = m_buckets[account];
    const double depth = std::max(minBurst, perSecond * static_cast<double>(burstSpan.count()));
    if (bucket.isNew) {
        bucket = Bucket{depth, at, false};
    }
    if (at > bucket.filledAt) {
        const double seconds = std::chrono::duration<double>(at - bucket.filledAt).count();
        bucket.tokens = std::min(depth, bucket.tokens + seconds * perSecond);
        bucket.filledAt = at;
    }
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

} // namespace fescueledge::account
