#pragma once

#include "fescueledge/types.h"

#include <cstdint>

namespace fescueledge::workflow {

/// How many starts one run of the dispatch may send.
///
/// A run keeps the loop from answers, callers and new configurations, so it has to be short on a slow processor; a fast
/// one gets more done at once. The size follows what full runs take.
class DispatchBudget
{
public:
    std::uint64_t startsPerRun() const
    {
        return m_startsPerRun;
    }
    /// Notes that a run took @p took, waiting for the processor included; @p full if it sent the whole portion.
    void adjust(Duration took, bool full);

private:
    std::uint64_t m_startsPerRun = 48; ///< Two dozen milliseconds on a tenth of a core.
};

} // namespace fescueledge::workflow
