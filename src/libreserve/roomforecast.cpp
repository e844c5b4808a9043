#include "fescueledge/reserve/roomforecast.h"

#include <algorithm>

namespace fescueledge::reserve {

std::optional<TimePoint> roomFreeAt(const Resources &free, const Resources &need, std::vector<ExpectedEnd> ends,
                                    TimePoint now)
{
    if (need.fitsIn(free)) {
        return now;
    }
    std::sort(ends.begin(), ends.end(), [](const ExpectedEnd &a, const ExpectedEnd &b) {
        return a.at < b.at;
    });
    Resources room = free;
    for (const ExpectedEnd &end : ends) {
        room += end.reserved;
        if (need.fitsIn(room)) {
            return std::max(now, end.at);
        }
    }
    return std::nullopt;
}

bool fitsBeside(const Reservation &reservation, const Resources &need)
{
    return (reservation.need + need).fitsIn(reservation.roomAtStart);
}

bool mayBackfill(const Reservation &reservation, const Resources &need, TimePoint end)
{
    return end <= reservation.startsAt || fitsBeside(reservation, need);
}

} // namespace fescueledge::reserve
