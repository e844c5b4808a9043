#pragma once

#include "context_pvt.h"
#include "fescueledge/reserve/roomforecast.h"
#include "passedsizes_pvt.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace fescueledge::workflow {

class AccountGate;
class Placement;

/// Reserves workers for tasks that find no room: while other work takes each piece of room as it comes free, a task
/// that needs a larger piece would wait for good. A reserved worker gets tasks of one step, and with look-ahead such
/// others as are expected to be gone, or to leave enough room, when that step can start there.
///
/// Without look-ahead only long-running tasks get reservations. With it, they go before other work here as well: they
/// displace reservations for such, and are not refused because of them.
class Reservations
{
public:
    Reservations(std::shared_ptr<Context> context, const Placement *placement, const AccountGate *accounts);

    /// Whether a long-running task of @p step has waited for so long that it goes before all other work.
    static bool waitsTooLong(const Step &step, TimePoint now);
    /// Whether update() would do anything now.
    bool isDue() const;
    /// Ends reservations that have served their purpose, and reserves workers for the steps in @p waiting, which are
    /// in the order of their rank.
    void update(const std::vector<Step *> &waiting);
    /// A worker that is reserved for @p step and has room for a task of it; nullptr if there is none.
    Worker *reservedWorker(const Step &step) const;
    /// Records that a task of @p step starts on @p worker: a reservation for it ends, and one for another step has less
    /// room beside it.
    void noteStart(Worker *worker, const Step &step);

private:
    struct Reserved
    {
        WorkerId worker;
        std::uint64_t step = 0; ///< Step::creationIndex.
        JobId job;
        std::string account;
        bool isLongRunning = false;
        Resources need;
        TimePoint since;
        TimePoint expectedStart; ///< The first forecast.
        TimePoint announcedStart; ///< The forecast when others were last made to look at the worker again.
        Duration idle{0}; ///< For how long it has kept room idle, as time of a whole worker.
    };

    /// A worker, and what the long-running tasks there leave of its room.
    struct Room
    {
        Worker *worker = nullptr;
        Resources besideLasting;
    };

    /// Whether a task of @p step that isn't long-running is to get a reservation.
    bool isEntitled(const Step &step) const;
    /// Tasks of @p step that could start now if there were room.
    std::uint32_t startableTasks(const Step &step) const;
    std::uint32_t reservationsOf(const Step &step) const;
    /// Whether the account of @p step may start a task of it besides those that it has reservations for.
    bool isWithinLimit(const Step &step) const;
    std::size_t maxReservations() const;
    /// Updates m_rooms and m_largestRoom.
    void findRoom();
    void addIdleTime(Duration span);
    void endStale(const std::vector<Step *> &waiting);
    /// Why @p reserved is to end now; nullptr if it isn't. @p tasks are those that its step still has.
    const char *endReason(const Reserved &reserved, std::uint32_t tasks) const;
    /// Ends the latest reservation that isn't for a long-running task, if there is one.
    void displaceOne();
    /// Updates until when others may work on the reserved workers.
    void updateForecasts();
    /// Frees the worker of @p reserved.
    void end(const Reserved &reserved, const char *reason);
    void reserveForLongRunning(const std::vector<Step *> &waiting);
    void reserveForOthers(const std::vector<Step *> &waiting);
    void reserve(Worker *worker, const Step &step, TimePoint expectedStart);
    bool suits(const Room &room, const Step &step) const;
    /// The worker with the least other work where a task of @p step could start if others ended; nullptr if there is
    /// none.
    Worker *leastUsedWorker(const Step &step) const;
    /// Some workers where room for a task of @p step is expected soon, the earliest first.
    std::vector<std::pair<TimePoint, Worker *>> earliestWorkers(const Step &step) const;

    std::shared_ptr<Context> m_context;
    const Placement *m_placement;
    const AccountGate *m_accounts;
    std::vector<Reserved> m_reserved;
    std::unordered_map<std::uint64_t, std::uint32_t> m_countByStep; ///< Reservations by Reserved::step.
    PassedSizes m_startedSizes;
    /// Steps that get no reservation before the given time, because a search found no worker or a reservation failed.
    std::map<std::uint64_t, TimePoint> m_stepPauses;
    std::map<WorkerId, TimePoint> m_workerPauses; ///< The same for workers on which a reservation failed.
    std::vector<Room> m_rooms; ///< As of the current update, the least used first.
    Resources m_largestRoom; ///< The most of each resource in any of m_rooms.
    TimePoint m_updatedAt{};
    TimePoint m_searchedAt{}; ///< When workers were last searched for steps that aren't long-running.
    TimePoint m_forecastAt{};
};

} // namespace fescueledge::workflow
