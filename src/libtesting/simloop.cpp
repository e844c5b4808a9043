#include "fescueledge/testing/simloop.h"

#include "fescueledge/testing/simworld.h"

#include <utility>
#include <vector>

namespace fescueledge {

struct SimLoop::State
{
    bool alive = true;
    bool paused = false;
    std::vector<std::function<void()>> deferred;
};

SimLoop::SimLoop(SimWorld *world, double rate)
    : m_world(world)
    , m_rate(rate)
    , m_state(std::make_shared<State>())
{
}

TimePoint SimLoop::now() const
{
    const double ticks = static_cast<double>(m_world->now().time_since_epoch().count()) * m_rate;
    return TimePoint(Duration(static_cast<Duration::rep>(ticks)));
}

void SimLoop::post(std::function<void()> fn)
{
    postAfter(Duration::zero(), std::move(fn));
}

void SimLoop::postAfter(Duration delay, std::function<void()> fn)
{
    const Duration worldDelay(static_cast<Duration::rep>(static_cast<double>(delay.count()) / m_rate));
    const std::shared_ptr<State> state = m_state;
    m_world->after(worldDelay, [state, fn = std::move(fn)] {
        run(state, fn);
    });
}

void SimLoop::run(const std::shared_ptr<State> &state, const std::function<void()> &fn)
{
    if (!state->alive) {
        return;
    }
    if (state->paused) {
        state->deferred.push_back(fn);
        return;
    }
    fn();
}

void SimLoop::pause()
{
    m_state->paused = true;
}

void SimLoop::resume()
{
    m_state->paused = false;
    std::vector<std::function<void()>> deferred;
    deferred.swap(m_state->deferred);
    for (std::function<void()> &fn : deferred) {
        post(std::move(fn));
    }
}

void SimLoop::kill()
{
    m_state->alive = false;
    m_state->deferred.clear();
}

bool SimLoop::isAlive() const
{
    return m_state->alive;
}

} // namespace fescueledge
