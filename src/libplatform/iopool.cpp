#include "fescueledge/iopool.h"

#include <atomic>
#include <tbb/concurrent_queue.h>
#include <thread>
#include <utility>
#include <vector>

namespace fescueledge {

struct IoPool::State
{
    tbb::concurrent_bounded_queue<std::function<void()>> work;
    std::atomic<bool> stopping{false};
    std::vector<std::thread> threads;
};

IoPool::IoPool(int threads)
    : m_state(std::make_unique<State>())
{
    for (int i = 0; i < threads; ++i) {
        m_state->threads.emplace_back([state = m_state.get()] {
            while (true) {
                std::function<void()> fn;
                state->work.pop(fn);
                if (!fn) {
                    return;
                }
                if (!state->stopping) {
                    fn();
                }
            }
        });
    }
}

IoPool::~IoPool()
{
    m_state->stopping = true;
    for (std::size_t i = 0; i < m_state->threads.size(); ++i) {
        m_state->work.push({});
    }
    for (std::thread &thread : m_state->threads) {
        thread.join();
    }
}

void IoPool::run(std::function<void()> fn)
{
    m_state->work.push(std::move(fn));
}

} // namespace fescueledge
