#pragma once

#include "fescueledge/random.h"
#include "fescueledge/types.h"

#include <vector>

namespace fescueledge::load {

/// Chooses the delay after which refused callers should retry.
///
/// Responds to many callers that are refused together: without a spread they would return together, and with the same
/// delay for each outage they would return to a long one many times.
class RetryAdvice
{
public:
    explicit RetryAdvice(std::uint64_t seed);

    /// Delay for a caller that is refused at @p now in an outage that has lasted for @p outage, and that waits for
    /// @p callerTimeout (0 if unknown) in all. Zero if it has less than a second left: no delay in whole seconds fits.
    std::chrono::seconds delayFor(Duration outage, Milliseconds callerTimeout, TimePoint now);

private:
    Random m_random;
    std::vector<TimePoint> m_refusals; ///< Recent ones, the oldest first.
};

} // namespace fescueledge::load
