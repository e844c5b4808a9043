#pragma once

#include "fescueledge/types.h"

#include <cstdint>

namespace fescueledge::workflow {

/// How many starts one run of the dispatch may send.
///
/// A run keeps the loop from answers, callers and new configurations, so it has to be short on a slow processor; a fast
/// one gets more done at once. The size follows what full runs take.
class DispatchPortion
{
public:
    std::uint64_t size() const
    {
        return m_size;
    }
    /// Notes that a run took @p took, waiting for the processor included; @p full if it sent the whole portion.
    void note(Duration took, bool full);

private:
    std::uint64_t m_size = 48; ///< Two dozen milliseconds on a tenth of a core.
};

} // namespace fescueledge::workflow
