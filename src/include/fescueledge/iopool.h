#pragma once

#include <functional>
#include <memory>

namespace fescueledge {

/// A fixed-size thread pool for blocking calls. Functions start in the order in which they were added.
class IoPool
{
public:
    explicit IoPool(int threads);
    /// Waits for running functions; drops those that have not started.
    ~IoPool();
    IoPool(const IoPool &) = delete;
    IoPool &operator=(const IoPool &) = delete;

    /// Runs @p fn on one of the threads. Thread-safe.
    void run(std::function<void()> fn);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace fescueledge
