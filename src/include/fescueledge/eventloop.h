#pragma once

#include "fescueledge/loop.h"

#include <memory>

namespace fescueledge {

/// A Loop with its own thread, in real time.
class EventLoop : public Loop
{
public:
    EventLoop();
    /// Stops the loop and drops functions that have not run.
    ~EventLoop() override;
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    TimePoint now() const override;
    void post(std::function<void()> fn) override;
    void postAfter(Duration delay, std::function<void()> fn) override;

    /// Stops the loop after the function that runs now. Must not be called on the loop itself.
    void stop();

private:
    struct State;
    static void run(const std::shared_ptr<State> &state);

    std::shared_ptr<State> m_state;
};

} // namespace fescueledge
