#include "fescueledge/eventloop.h"

#include <condition_variable>
#include <cstdint>
#include <glog/logging.h>
#include <mutex>
#include <queue>
#include <thread>
#include <utility>
#include <vector>

namespace fescueledge {

namespace {

struct Timer
{
    TimePoint when;
    std::uint64_t order = 0;
    std::function<void()> fn;

    bool operator>(const Timer &other) const
    {
        return when != other.when ? when > other.when : order > other.order;
    }
};

} // namespace

struct EventLoop::State
{
    std::mutex mutex;
    std::condition_variable wake;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers;
    std::uint64_t nextOrder = 0;
    bool stopping = false;
    std::thread thread;
};

EventLoop::EventLoop()
    : m_state(std::make_shared<State>())
{
    const std::shared_ptr<State> state = m_state;
    m_state->thread = std::thread([state] {
        run(state);
    });
}

EventLoop::~EventLoop()
{
    stop();
}

TimePoint EventLoop::now() const
{
    return Clock::now();
}

void EventLoop::post(std::function<void()> fn)
{
    postAfter(Duration::zero(), std::move(fn));
}

void EventLoop::postAfter(Duration delay, std::function<void()> fn)
{
    {
        const std::lock_guard<std::mutex> lock(m_state->mutex);
        m_state->timers.push(Timer{Clock::now() + delay, m_state->nextOrder++, std::move(fn)});
    }
    m_state->wake.notify_one();
}

void EventLoop::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_state->mutex);
        m_state->stopping = true;
    }
    m_state->wake.notify_one();
    if (m_state->thread.joinable()) {
        m_state->thread.join();
    }
}

void EventLoop::run(const std::shared_ptr<State> &state)
{
    std::unique_lock<std::mutex> lock(state->mutex);
    while (!state->stopping) {
        if (state->timers.empty()) {
            state->wake.wait(lock);
            continue;
        }
        const TimePoint due = state->timers.top().when;
        if (due > Clock::now()) {
            state->wake.wait_until(lock, due);
            continue;
        }
        const std::function<void()> fn = state->timers.top().fn;
        state->timers.pop();
        lock.unlock();
        fn();
        lock.lock();
    }
}

} // namespace fescueledge
