#pragma once

#include "fescueledge/loop.h"

#include <memory>

namespace fescueledge {

class SimWorld;

/// The loop of one simulated process in virtual time. It can be paused like a stopped process, killed, or given a
/// fast or slow clock.
class SimLoop : public Loop
{
public:
    /// @p rate is the rate of this process's clock: 1.01 gains one percent.
    explicit SimLoop(SimWorld *world, double rate = 1.0);

    TimePoint now() const override;
    void post(std::function<void()> fn) override;
    void postAfter(Duration delay, std::function<void()> fn) override;

    /// Stops running events; they run after resume().
    void pause();
    void resume();
    /// Drops all pending and later events.
    void kill();
    bool isAlive() const;

private:
    struct State;
    static void run(const std::shared_ptr<State> &state, const std::function<void()> &fn);

    SimWorld *m_world;
    double m_rate;
    std::shared_ptr<State> m_state;
};

} // namespace fescueledge
