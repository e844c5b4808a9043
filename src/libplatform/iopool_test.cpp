#include "fescueledge/iopool.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

using namespace fescueledge;

namespace {

constexpr std::chrono::milliseconds idleDelay{50};

} // namespace

TEST_CASE("a pool can be destroyed while its threads wait for work")
{
    std::atomic<int> runs{0};
    {
        IoPool pool(4);
        for (int i = 0; i < 8; ++i) {
            pool.run([&runs] {
                ++runs;
            });
        }
        std::this_thread::sleep_for(idleDelay);
    }
    CHECK(runs == 8);
}

TEST_CASE("destroying a pool drops work that has not started")
{
    std::atomic<int> runs{0};
    {
        IoPool pool(1);
        pool.run([] {
            std::this_thread::sleep_for(idleDelay);
        });
        for (int i = 0; i < 100; ++i) {
            pool.run([&runs] {
                ++runs;
            });
        }
    }
    CHECK(runs == 0);
}
