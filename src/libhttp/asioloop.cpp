#include "fescueledge/asioloop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <utility>

namespace fescueledge {

namespace asio = boost::asio;

struct AsioLoop::State
{
    asio::io_context io{1};
    asio::executor_work_guard<asio::io_context::executor_type> work{io.get_executor()};
    asio::signal_set signals{io};
    std::function<void(int)> onSignal;

    void awaitSignal()
    {
        signals.async_wait([this](const boost::system::error_code &ec, int signal) {
            if (ec) {
                return;
            }
            onSignal(signal);
            awaitSignal();
        });
    }
};

AsioLoop::AsioLoop()
    : m_state(std::make_unique<State>())
{
}

AsioLoop::~AsioLoop() = default;

TimePoint AsioLoop::now() const
{
    return Clock::now();
}

void AsioLoop::post(std::function<void()> fn)
{
    asio::post(m_state->io, std::move(fn));
}

void AsioLoop::postAfter(Duration delay, std::function<void()> fn)
{
    const std::shared_ptr<asio::steady_timer> timer = std::make_shared<asio::steady_timer>(m_state->io, delay);
    timer->async_wait([timer, fn = std::move(fn)](const boost::system::error_code &ec) {
        if (!ec) {
            fn();
        }
    });
}

void AsioLoop::run()
{
    m_state->io.run();
}

void AsioLoop::stop()
{
    m_state->io.stop();
}

void AsioLoop::onSignals(std::function<void(int)> fn)
{
    m_state->onSignal = std::move(fn);
    m_state->signals.add(SIGTERM);
    m_state->signals.add(SIGINT);
    m_state->signals.add(SIGHUP);
    m_state->awaitSignal();
}

asio::io_context &AsioLoop::context()
{
    return m_state->io;
}

} // namespace fescueledge
