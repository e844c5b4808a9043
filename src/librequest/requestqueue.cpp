#include "requestqueue_pvt.h"

#include <iterator>
#include <utility>

namespace fescueledge {

std::size_t RequestQueue::size() const
{
    return m_attempts.size();
}

bool RequestQueue::isEmpty() const
{
    return m_attempts.empty();
}

std::size_t RequestQueue::countAhead(int urgency) const
{
    return static_cast<std::size_t>(std::distance(m_attempts.begin(), m_attempts.lower_bound({urgency + 1, 0})));
}

void RequestQueue::push(const AttemptPtr &attempt)
{
    m_attempts[{attempt->urgency, m_nextSequence++}] = attempt;
}

const RequestQueue::AttemptPtr &RequestQueue::front() const
{
    return m_attempts.begin()->second;
}

RequestQueue::AttemptPtr RequestQueue::popFront()
{
    AttemptPtr attempt = std::move(m_attempts.begin()->second);
    m_attempts.erase(m_attempts.begin());
    return attempt;
}

RequestQueue::AttemptPtr RequestQueue::shed(int urgency)
{
    if (m_attempts.empty() || m_attempts.rbegin()->first.first <= urgency) {
        return nullptr;
    }
    const auto it = std::prev(m_attempts.end());
    AttemptPtr attempt = std::move(it->second);
    m_attempts.erase(it);
    return attempt;
}

std::vector<RequestQueue::AttemptPtr> RequestQueue::removeExpired(TimePoint now)
{
    std::vector<AttemptPtr> expired;
    for (auto it = m_attempts.begin(); it != m_attempts.end();) {
        if (it->second->deadline <= now) {
            expired.push_back(it->second);
            it = m_attempts.erase(it);
        } else {
            ++it;
        }
    }
    return expired;
}

} // namespace fescueledge
