#pragma once

#include "fescueledge/resources.h"
#include "fescueledge/types.h"

#include <optional>
#include <vector>

namespace fescueledge::reserve {

/// What a running task gives back, and when.
struct ExpectedEnd
{
    Resources reserved;
    TimePoint at{};
};

/// When @p need fits on a worker that has @p free room now and where tasks end as in @p ends; empty if never.
std::optional<TimePoint> roomFreeAt(const Resources &free, const Resources &need, std::vector<ExpectedEnd> ends,
                                    TimePoint now);

/// Room on a worker that is reserved for a task that doesn't fit yet.
struct Reservation
{
    Resources need;
    TimePoint startsAt{}; ///< When the room is expected to be free.
    Resources roomAtStart; ///< The room that there is expected to be then, with that of the reserved task.
};

/// Whether a task of @p need fits beside the reserved one for as long as it likes.
bool fitsBeside(const Reservation &reservation, const Resources &need);
/// Whether a task of @p need that is expected to end at @p end may start on a worker with a reservation (backfill): it
/// fits beside the reserved task, or it ends before that starts.
bool mayBackfill(const Reservation &reservation, const Resources &need, TimePoint end);

} // namespace fescueledge::reserve
