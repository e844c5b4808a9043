#pragma once

#include "fescueledge/loop.h"

#include <memory>

namespace boost::asio {
class io_context;
}

namespace fescueledge {

/// A Loop that also drives sockets: everything runs on the thread that calls run().
class AsioLoop : public Loop
{
public:
    AsioLoop();
    ~AsioLoop() override;
    AsioLoop(const AsioLoop &) = delete;
    AsioLoop &operator=(const AsioLoop &) = delete;

    TimePoint now() const override;
    void post(std::function<void()> fn) override;
    void postAfter(Duration delay, std::function<void()> fn) override;

    /// Runs functions and socket handlers until stop() is called.
    void run();
    /// Ends run() after the function that runs now. Thread-safe.
    void stop();
    /// Calls @p fn on the loop for each SIGTERM, SIGINT and SIGHUP, with the signal's number.
    void onSignals(std::function<void(int)> fn);

    boost::asio::io_context &context();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace fescueledge
