#pragma once

#include "localattempt_pvt.h"

#include <cstdint>
#include <map>

namespace fescueledge {

/// Attempts of one pool that wait for a slot: the most urgent first, then in order of arrival.
class RequestQueue
{
public:
    using AttemptPtr = std::shared_ptr<LocalAttempt>;

    std::size_t size() const;
    bool isEmpty() const;
    /// Number of waiting attempts that precede a new one of @p urgency.
    std::size_t countAhead(int urgency) const;
    void push(const AttemptPtr &attempt);
    const AttemptPtr &front() const;
    AttemptPtr popFront();
    /// Removes and returns the last attempt if it is less urgent than @p urgency; nullptr otherwise.
    AttemptPtr shed(int urgency);
    /// Removes and returns all attempts whose deadline has passed at @p now.
    std::vector<AttemptPtr> removeExpired(TimePoint now);

private:
    std::map<std::pair<int, std::uint64_t>, AttemptPtr> m_attempts;
    std::uint64_t m_nextSequence = 0;
};

} // namespace fescueledge
