#pragma once

#include "context_pvt.h"
#include "fescueledge/reserve/roomforecast.h"

#include <vector>

namespace fescueledge::workflow {

class AccountGate;
class Placement;

/// Reserves workers for tasks that find no room: while other work takes each piece of room as it comes free, a task
/// that needs a larger piece would wait for good. A reserved worker gets tasks of one step, and with look-ahead such
/// others as are expected to be gone, or to leave enough room, when that step can start there.
class Reservations
{
public:
    Reservations(std::shared_ptr<Context> context, const Placement *placement, const AccountGate *accounts);

    /// Whether a long-running task of @p step has waited for so long that it goes before all other work.
    static bool waitsTooLong(const Step &step, TimePoint now);
    /// Ends reservations that have served their purpose, and reserves workers for the steps in @p waiting.
    void update(const std::vector<Step *> &waiting);
    /// A worker that is reserved for @p step and has room for a task of it; nullptr if there is none.
    Worker *reservedWorker(const Step &step) const;
    /// Ends the reservation of @p worker, if it is for @p step, because a task of that starts there.
    void release(Worker *worker, const Step &step);

private:
    struct Reserved
    {
        WorkerId worker;
        std::uint64_t step = 0; ///< Step::creationIndex.
        TimePoint since;
        TimePoint expectedStart; ///< The first forecast.
    };

    /// A worker, and what the long-running tasks there leave of its room.
    struct Room
    {
        Worker *worker = nullptr;
        Resources besideLasting;
    };

    /// Whether a task of @p step is to get a reservation if it finds no room.
    bool isEntitled(const Step &step, TimePoint now) const;
    /// Updates m_rooms and m_largestRoom.
    void findRoom();
    void endStale(const std::vector<Step *> &waiting);
    /// Updates until when others may work on the reserved workers.
    void updateForecasts(const std::vector<Step *> &waiting);
    void end(const Reserved &reserved, const char *reason);
    void reserve(const Step &step);
    /// The worker where room for a task of @p step is expected first, or with the least other work if look-ahead is
    /// off; nullptr if there is none.
    Worker *bestWorker(const Step &step) const;
    /// When @p need is expected to fit on @p worker; the latest time there is if it isn't expected to.
    TimePoint roomFreeAt(const Worker &worker, const Resources &need) const;

    std::shared_ptr<Context> m_context;
    const Placement *m_placement;
    const AccountGate *m_accounts;
    std::vector<Reserved> m_reserved;
    std::vector<Room> m_rooms; ///< As of the current update.
    Resources m_largestRoom; ///< The most of each resource in any of m_rooms.
    TimePoint m_updatedAt{};
};

} // namespace fescueledge::workflow
