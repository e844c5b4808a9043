#pragma once

#include "fescueledge/resources.h"
#include "fescueledge/types.h"

#include <limits>

namespace fescueledge::workflow {

/// The smallest tasks that have started lately. Only work that is larger than these is passed over for its size: among
/// tasks of one size the rank decides, and a reservation would turn it round.
class PassedSizes
{
public:
    /// Records that a task of @p need starts.
    void record(const Resources &need, TimePoint now);
    /// Whether smaller tasks than one of @p need have started in the last seconds.
    bool havePassed(const Resources &need, TimePoint now) const;

private:
    struct Smallest
    {
        TimePoint since{};
        std::int64_t milliCores = std::numeric_limits<std::int64_t>::max();
        std::int64_t memoryMb = std::numeric_limits<std::int64_t>::max();
    };

    Smallest m_current;
    Smallest m_last;
};

} // namespace fescueledge::workflow
