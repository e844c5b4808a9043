#include "dispatchbudget_pvt.h"

#include <algorithm>

namespace fescueledge::workflow {

namespace {

/// A run that takes longer halves the budget.
constexpr Milliseconds longRunThreshold{20};
/// A full run that takes less doubles the budget.
constexpr Milliseconds shortRunThreshold{8};
constexpr std::uint64_t minStartsPerRun = 16;
constexpr std::uint64_t maxStartsPerRun = 512;

} // namespace

void DispatchBudget::adjust(Duration took, bool full)
{
    if (took > longRunThreshold) {
        m_startsPerRun = std::max(minStartsPerRun, m_startsPerRun / 2);
    } else if (full && took < shortRunThreshold) {
        m_startsPerRun = std::min(maxStartsPerRun, m_startsPerRun * 2);
    }
}

} // namespace fescueledge::workflow
