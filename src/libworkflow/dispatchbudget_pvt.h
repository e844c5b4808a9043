#pragma once

#include "fescueledge/types.h"

#include <cstdint>

namespace fescueledge::workflow {

/// How many starts one run of the dispatch may send.
///
/// A run delays answers, callers and new configurations, so it has to be short on a slow processor, while a fast one
/// may send more at once. The budget follows the duration of full runs.
class DispatchBudget
{
public:
    std::uint64_t startsPerRun() const
    {
        return m_startsPerRun;
    }
    /// Adapts to a run that took @p took, including the wait for the processor; @p full if it used up the budget.
    void adjust(Duration took, bool full);

private:
    std::uint64_t m_startsPerRun = 48; ///< Takes about two dozen milliseconds on a tenth of a core.
};

} // namespace fescueledge::workflow
