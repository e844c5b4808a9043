// How the work on the input of clients is divided among them, and between them and the rest of a process.
#include "fescueledge/inputturns.h"

#include "fescueledge/loop.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

using namespace fescueledge;

namespace {

constexpr std::size_t chunkedPiece = 16'384; ///< What one read of a chunked body brings.
constexpr std::size_t bodyBytes = 1'500'000; ///< The largest legal body in chunks of one byte.
constexpr std::size_t costlyHandling = 2'097'152; ///< Handling the largest legal body.

/// A loop whose passes are run one by one.
class PassLoop : public Loop
{
public:
    TimePoint now() const override
    {
        return TimePoint{};
    }
    void post(std::function<void()> fn) override
    {
        m_ready.push_back(std::move(fn));
    }
    void postAfter(Duration /*delay*/, std::function<void()> /*fn*/) override
    {
    }

    void runPass()
    {
        const std::vector<std::function<void()>> ready = std::move(m_ready);
        m_ready.clear();
        for (const std::function<void()> &fn : ready) {
            fn();
        }
    }

    /// Runs passes until nothing is posted; returns how many.
    int runAll()
    {
        int passes = 0;
        for (; !m_ready.empty(); ++passes) {
            runPass();
        }
        return passes;
    }

private:
    std::vector<std::function<void()>> m_ready;
};

/// Clients that each send a large body, piece by piece.
class Crowd
{
public:
    Crowd(InputTurns *turns, std::size_t clients)
        : m_turns(turns)
        , m_spent(clients, 0)
    {
    }

    void send()
    {
        for (std::size_t &spent : m_spent) {
            request(&spent);
        }
    }

    std::size_t work = 0; ///< Done for all of them.
    std::size_t ended = 0;

private:
    void request(std::size_t *spent)
    {
        m_turns->request(spent, *spent, [this, spent] {
            m_turns->charge(chunkedPiece);
            work += chunkedPiece;
            *spent += chunkedPiece;
            if (*spent < bodyBytes) {
                request(spent);
            } else {
                ++ended;
            }
        });
    }

    InputTurns *m_turns;
    std::vector<std::size_t> m_spent;
};

} // namespace

// Load: three thousand bodies in chunks of one byte. Guards against leases, heartbeats and answers of workers that wait
// until a crowd's bytes have been parsed: to everybody else, the node hangs.
TEST_CASE("between two passes of the loop a crowd costs a bounded amount of work")
{
    PassLoop loop;
    const std::shared_ptr<InputTurns> turns = std::make_shared<InputTurns>(&loop);
    Crowd crowd(turns.get(), 3000);
    crowd.send();
    std::size_t before = 0;
    for (int i = 0; i < 2000; ++i) {
        REQUIRE(crowd.work - before <= InputTurns::unitsPerPass + chunkedPiece);
        before = crowd.work;
        loop.runPass();
    }
    CHECK(crowd.ended == 0);
}

// Load: the same. Guards against an ordinary caller that waits until all of a crowd's bytes have been parsed.
TEST_CASE("an ordinary message waits for one turn of each client at most")
{
    PassLoop loop;
    const std::shared_ptr<InputTurns> turns = std::make_shared<InputTurns>(&loop);
    Crowd crowd(turns.get(), 3000);
    crowd.send();
    for (int i = 0; i < 1000; ++i) {
        loop.runPass();
    }
    CHECK(crowd.ended == 0);
    const int caller = 0;
    bool isServed = false;
    const std::size_t before = crowd.work;
    turns->request(&caller, 0, [&isServed] {
        isServed = true;
    });
    loop.runPass();
    CHECK(isServed);
    CHECK(crowd.work - before <= InputTurns::unitsPerPass);
}

// Load: many complete bodies of legal size that are refused in the end, each of which costs milliseconds. Guards
// against handling them one after the other.
TEST_CASE("costly work is followed by passes without input")
{
    PassLoop loop;
    const std::shared_ptr<InputTurns> turns = std::make_shared<InputTurns>(&loop);
    const std::vector<int> clients(10);
    int handled = 0;
    for (const int &client : clients) {
        turns->request(&client, bodyBytes, [&turns, &handled] {
            turns->charge(costlyHandling);
            ++handled;
        });
    }
    CHECK(handled == 1);
    const int restPasses = static_cast<int>(costlyHandling / InputTurns::unitsPerPass);
    for (int i = 1; i < restPasses; ++i) {
        loop.runPass();
    }
    CHECK(handled == 1);
    loop.runAll();
    CHECK(handled == 10);
}

TEST_CASE("work is not held back when there is no load")
{
    PassLoop loop;
    const std::shared_ptr<InputTurns> turns = std::make_shared<InputTurns>(&loop);
    Crowd single(turns.get(), 1);
    single.send();
    CHECK(single.work > 0); // At once, not in the next pass.
    loop.runAll();
    CHECK(single.ended == 1);
    CHECK(loop.runAll() == 0); // Nothing is posted while nobody waits.
}

// Guards against large messages that never get a turn although they are as old as others.
TEST_CASE("messages that cost the same proceed together")
{
    PassLoop loop;
    const std::shared_ptr<InputTurns> turns = std::make_shared<InputTurns>(&loop);
    Crowd crowd(turns.get(), 20);
    crowd.send();
    loop.runAll();
    CHECK(crowd.ended == 20);
}

// Guards against a turn of a connection that has been closed, and against memory of such connections.
TEST_CASE("a request that is withdrawn gets no turn")
{
    PassLoop loop;
    const std::shared_ptr<InputTurns> turns = std::make_shared<InputTurns>(&loop);
    turns->charge(costlyHandling);
    const int owner = 0;
    bool hasRun = false;
    turns->request(&owner, 0, [&hasRun] {
        hasRun = true;
    });
    CHECK(turns->isWaiting(&owner));
    turns->cancel(&owner);
    CHECK_FALSE(turns->isWaiting(&owner));
    loop.runAll();
    CHECK_FALSE(hasRun);
    turns->cancel(&owner);
}
