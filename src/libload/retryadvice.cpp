#include "fescueledge/load/retryadvice.h"

#include <algorithm>

namespace fescueledge::load {

namespace {

using std::chrono::seconds;

constexpr seconds minDelay{1};
constexpr seconds maxDelay{4};
/// An outage that has lasted for some time is expected to last for this share of it.
constexpr int outageShare = 4;
/// Callers that are refused within this time of each other would return together.
constexpr seconds crowdWindow{1};
/// The spread grows by a second for each so many of them; a node handles as many submissions in a second with ease.
constexpr std::size_t crowdPerSecond = 20;
constexpr seconds maxSpread{3};
/// More refusals don't widen the spread.
constexpr std::size_t maxRefusalsKept = crowdPerSecond * 3;
/// The retry itself has to be answered before the caller's deadline.
constexpr Milliseconds answerTime{300};

} // namespace

RetryAdvice::RetryAdvice(std::uint64_t seed)
    : m_random(seed)
{
}

seconds RetryAdvice::delayFor(Duration outage, Milliseconds callerTimeout, TimePoint now)
{
    m_refusals.erase(std::remove_if(m_refusals.begin(), m_refusals.end(),
                                    [now](TimePoint at) {
                                        return at + crowdWindow < now;
                                    }),
                     m_refusals.end());
    if (m_refusals.size() < maxRefusalsKept) {
        m_refusals.push_back(now);
    }
    const seconds base = std::clamp(std::chrono::duration_cast<seconds>(outage / outageShare), minDelay, maxDelay);
    const seconds spread = std::min(maxSpread, seconds(m_refusals.size() / crowdPerSecond));
    const seconds delay = base + seconds(m_random.below(static_cast<std::size_t>(spread.count()) + 1));
    if (callerTimeout <= Milliseconds::zero()) {
        return delay;
    }
    const Milliseconds left = std::max(Milliseconds::zero(), callerTimeout - answerTime);
    return std::min(delay, std::chrono::duration_cast<seconds>(left));
}

} // namespace fescueledge::load
