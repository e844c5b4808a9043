#pragma once

#include "fescueledge/types.h"

#include <cstdint>

namespace fescueledge::reserve {

/// The running average of observed duration / estimate of tasks that have much in common.
class EndFactor
{
public:
    /// Records that a task with estimate @p estimate was at work for @p took.
    void record(Milliseconds estimate, Duration took);
    bool isKnown() const
    {
        return m_count > 0;
    }
    /// 1 if it isn't known.
    double value() const
    {
        return m_value;
    }

private:
    double m_value = 1;
    std::uint32_t m_count = 0; ///< Recorded tasks, up to the number from which on all weigh the same.
};

} // namespace fescueledge::reserve
