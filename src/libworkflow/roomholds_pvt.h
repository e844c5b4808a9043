#pragma once

#include "context_pvt.h"

#include <vector>

namespace fescueledge::workflow {

class Placement;

/// Keeps workers free for long-running tasks that find no room: while other work takes each piece of room as it comes
/// free, a task that needs a larger piece would wait for good. A held worker gets tasks of one step only, until one of
/// them starts there.
class RoomHolds
{
public:
    RoomHolds(std::shared_ptr<Context> context, const Placement *placement);

    /// Whether a long-running task of @p step has waited for so long that it goes before all other work.
    static bool waitsTooLong(const Step &step, TimePoint now);
    /// Ends holds that have served their purpose, and holds workers for the steps in @p waiting.
    void update(const std::vector<Step *> &waiting);
    /// A worker that is held for @p step and has room for a task of it; nullptr if there is none.
    Worker *heldWorker(const Step &step) const;
    /// Ends the hold of @p worker, if there is one, because a task of @p step starts there.
    void release(Worker *worker, const Step &step);

private:
    struct Hold
    {
        WorkerId worker;
        std::uint64_t step = 0; ///< Step::creationIndex.
        TimePoint since;
    };

    /// A worker, and what the long-running tasks there leave of its room.
    struct Room
    {
        Worker *worker = nullptr;
        Resources besideLasting;
    };

    /// Updates m_rooms and m_largestRoom.
    void findRoom();
    void endStale(const std::vector<Step *> &waiting);
    void hold(const Step &step);
    /// The worker where room for a task of @p step comes free with the least other work; nullptr if there is none.
    Worker *bestWorker(const Step &step) const;

    std::shared_ptr<Context> m_context;
    const Placement *m_placement;
    std::vector<Hold> m_holds;
    std::vector<Room> m_rooms; ///< As of the current update.
    Resources m_largestRoom; ///< The most of each resource in any of m_rooms.
    TimePoint m_updatedAt{};
};

} // namespace fescueledge::workflow
