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

bool mayBackfill(const Reservation &reservation, const Resources &need, TimePoint end, const Resources &roomAtStart)
{
    return end <= reservation.startsAt || (reservation.need + need).fitsIn(roomAtStart);
}

} // namespace fescueledge::reserve
