#pragma once

#include "fescueledge/types.h"

#include <map>
#include <string>

namespace fescueledge::account {

/// Tells the jobs that accounts submit within their rates from those beyond, with a token bucket for each account.
///
/// Load: one account submits many times its usual. Its jobs beyond the rate are excess and wait behind the work of the
/// others; what conforms is served as before.
class RateConformance
{
public:
    /// Whether a job that @p account submits at @p at conforms to a rate of @p perSecond jobs a second.
    bool conforms(const std::string &account, double perSecond, TimePoint at);

private:
    struct Bucket
    {
        double tokens = 0;
        TimePoint filledAt{};
        bool isNew = true;
    };

    std::map<std::string, Bucket> m_buckets;
};

} // namespace fescueledge::account
