#include "dispatchportion_pvt.h"

#include <algorithm>

namespace fescueledge::workflow {

namespace {

/// A run that takes longer is followed by half of the portion.
constexpr Milliseconds longRun{20};
/// A full run that takes less is followed by twice the portion.
constexpr Milliseconds shortRun{8};
constexpr std::uint64_t leastPortion = 16;
constexpr std::uint64_t largestPortion = 512;

} // namespace

void DispatchPortion::note(Duration took, bool full)
{
    if (took > longRun) {
        m_size = std::max(leastPortion, m_size / 2);
    } else if (full && took < shortRun) {
        m_size = std::min(largestPortion, m_size * 2);
    }
}

} // namespace fescueledge::workflow
