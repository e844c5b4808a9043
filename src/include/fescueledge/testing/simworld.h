#pragma once

#include "fescueledge/types.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace fescueledge {

/// Virtual time: an ordered queue of events that run one after the other. Events with equal time run in the order in
/// which they were added, so runs are reproducible from their seed.
class SimWorld
{
public:
    /// The current virtual time.
    TimePoint now() const;
    /// Runs @p fn at @p when, or at the current time if that is in the past.
    void at(TimePoint when, std::function<void()> fn);
    /// Runs @p fn after @p delay.
    void after(Duration delay, std::function<void()> fn);
    /// Runs events until virtual time has advanced by @p span.
    void runFor(Duration span);
    /// Runs events until @p done returns true or @p limit has passed; returns done().
    bool runUntil(const std::function<bool()> &done, Duration limit);

private:
    struct Event
    {
        TimePoint when;
        std::uint64_t order = 0;
        std::function<void()> fn;
        bool operator>(const Event &other) const
        {
            return when != other.when ? when > other.when : order > other.order;
        }
    };

    void runNext();

    TimePoint m_now{std::chrono::hours(1)};
    std::uint64_t m_nextOrder = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
};

} // namespace fescueledge
