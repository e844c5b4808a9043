#include "fescueledge/testing/simworld.h"

#include <utility>

namespace fescueledge {

TimePoint SimWorld::now() const
{
    return m_now;
}

void SimWorld::at(TimePoint when, std::function<void()> fn)
{
    m_events.push(Event{std::max(when, m_now), m_nextOrder++, std::move(fn)});
}

void SimWorld::after(Duration delay, std::function<void()> fn)
{
    at(m_now + delay, std::move(fn));
}

void SimWorld::runFor(Duration span)
{
    const TimePoint end = m_now + span;
    while (!m_events.empty() && m_events.top().when <= end) {
        runNext();
    }
    m_now = end;
}

bool SimWorld::runUntil(const std::function<bool()> &done, Duration limit)
{
    const TimePoint end = m_now + limit;
    while (!done() && !m_events.empty() && m_events.top().when <= end) {
        runNext();
    }
    return done();
}

void SimWorld::runNext()
{
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.when;
    event.fn();
}

} // namespace fescueledge
