// Start orders that are still under way when their worker restarts under its id: the next incarnation knows neither the
// former one's lease nor stops, and carries out what reaches it.
#include "fescueledge/random.h"
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

constexpr int nodes = 3;
constexpr int workers = 6;
constexpr Milliseconds workTime{3000};
constexpr Milliseconds warmUp{300};
/// Both jobs run within this time, whatever restarts.
constexpr std::chrono::seconds jobLimit{60};

/// Workers that are busy with jobB when jobA is submitted, whose starts are under way for some time.
class SlowStarts
{
public:
    SlowStarts(Milliseconds delay, bool areAnswered)
        : world(readyWorld(nodes, workers))
    {
        world->workers.workOf = [](const TaskKey &) {
            return std::make_pair(workTime, false);
        };
        world->submit(0, jobB, workflowOf({simpleStep(2 * workers)}));
        world->run(warmUp);
        world->delayStarts(world->coordinator(), delay, areAnswered);
        world->submit(0, jobA, workflowOf({simpleStep(workers)}));
        m_submittedAt = world->world.now();
    }

    /// Crashes worker @p id @p after the submission; it is up again after @p down. Starts are no longer delayed then.
    void restart(const WorkerId &id, Milliseconds after, Milliseconds down)
    {
        world->world.after(m_submittedAt + Duration(after) - world->world.now(), [this, id, down] {
            world->workers.crash(id);
            world->world.after(down, [this, id] {
                world->workers.restart(id);
            });
        });
    }

    /// @p mayBeGivenUp: workers crash under two runs of a task, so a job may count as harmful.
    void play(bool mayBeGivenUp = false)
    {
        world->run(Milliseconds(100));
        world->delayStarts(world->coordinator(), Milliseconds(0));
        for (const JobId &job : {jobA, jobB}) {
            const bool isComplete = reachesState(*world, 0, job, "complete", jobLimit);
            CHECK((isComplete || (mayBeGivenUp && world->state(0, job) == "failed")));
        }
        CHECK(world->workers.tasksRunTwice().empty());
    }

    std::unique_ptr<WorkflowWorld> world;

private:
    TimePoint m_submittedAt{};
};

} // namespace

// Guards against a task at work twice: its worker restarted while the start order was under way, the next incarnation's
// list without the run was taken for its end, and then the order reached that incarnation.
TEST_CASE("a start order that reaches the next incarnation of its worker does not run a task twice")
{
    for (const int delay : {50, 200, 300, 450, 600, 1000, 2000}) {
        for (const int after : {3, 20, 100}) {
            for (const int down : {0, 5, 50, 200}) {
                INFO("under way for " << delay << " ms, crash after " << after << " ms, down for " << down << " ms");
                SlowStarts slow{Milliseconds(delay), true};
                slow.restart("w0", Milliseconds(after), Milliseconds(down));
                slow.play();
            }
        }
    }
}

// The same for several workers that restart together, as a rack does, and may restart again before the calls have
// ended.
TEST_CASE("start orders that reach the next incarnations of a rack do not run tasks twice")
{
    for (const int delay : {300, 450, 1000}) {
        for (const bool areAnswered : {true, false}) {
            for (const int again : {0, 150, 400}) {
                INFO("under way for " << delay << " ms, answered " << areAnswered << ", again after " << again
                                      << " ms");
                SlowStarts slow{Milliseconds(delay), areAnswered};
                for (const char *id : {"w0", "w2", "w4"}) {
                    slow.restart(id, Milliseconds(3), Milliseconds(5));
                    if (again > 0) {
                        slow.restart(id, Milliseconds(again), Milliseconds(5));
                    }
                }
                slow.play(again > 0);
            }
        }
    }
}

// Guards against a task at work twice: the lease of its silent worker was over, so the task started elsewhere; then the
// worker was back, and the first order, whose lease was in the future on the new clock, reached it.
TEST_CASE("a start order that reaches a worker which is back after its lease does not run a task twice")
{
    for (const int delay : {5000, 7000, 9000}) {
        for (const int down : {1000, 2500, 4500, 5500, 6500}) {
            INFO("under way for " << delay << " ms, down for " << down << " ms");
            SlowStarts slow{Milliseconds(delay), false};
            slow.restart("w0", Milliseconds(3), Milliseconds(down));
            slow.play();
        }
    }
}

// Guards against a task at work twice: the answer to a start came from the former incarnation of its worker, after the
// next one had answered, and its clock was taken for the next one's. The next start had a lease far in the future
// there, so its run outlasted the lease that the coordinator had reckoned with.
TEST_CASE("an answer of a former incarnation that was held up does not set the clock of the next one")
{
    constexpr Milliseconds heldUp{300};
    constexpr std::chrono::seconds lostLimit{40}; // Lease, drift and margin, and a run elsewhere.
    const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 1);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(20000), false);
    };
    const auto runsBegun = [&world](const JobId &job) {
        return world->runUntil(
            [&world, job] {
                return !world->workers.runsOf(job).empty();
            },
            std::chrono::seconds(1));
    };
    world->run(std::chrono::seconds(60));
    world->delayStartAnswers(world->coordinator(), heldUp);
    world->submit(0, jobA, workflowOf({simpleStep(1)}));
    REQUIRE(runsBegun(jobA));
    world->delayStartAnswers(world->coordinator(), Milliseconds(0));
    world->workers.crash("w0");
    world->workers.restart("w0");
    REQUIRE(world->runUntil(
        [&world] {
            return world->countInLogs("run_start") > 0;
        },
        heldUp + Milliseconds(100)));
    world->submit(0, jobB, workflowOf({simpleStep(1)}));
    REQUIRE(runsBegun(jobB));
    world->run(Milliseconds(500));
    Resources capacity;
    capacity.milliCores = 4000;
    capacity.memoryMb = 100000;
    world->workers.add("w9", "dc-a", "r9", capacity);
    for (int i = 0; i < nodes; ++i) {
        world->workers.find("w0")->cutFrom.insert("node-" + std::to_string(i));
    }
    CHECK(reachesState(*world, 0, jobB, "complete", lostLimit));
    CHECK(reachesState(*world, 0, jobA, "complete", lostLimit));
    CHECK(world->workers.tasksRunTwice().empty());
}

// Guards against a task at work twice: a start for the former incarnation of a worker, with a lease on that one's
// clock, was carried out and answered by the next one before that was known. The answer settled the order, so the lease
// was taken for one of usual length; the worker was cut off, and its run outlasted it.
TEST_CASE("a start that the next incarnation has answered counts with the longest lease on it")
{
    constexpr Milliseconds delay{300};
    constexpr std::chrono::seconds lostLimit{60}; // The longest lease, drift and margin, and a run elsewhere.
    const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 1);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(20000), false);
    };
    world->run(std::chrono::seconds(60));
    world->delayStarts(world->coordinator(), delay, true);
    world->submit(0, jobA, workflowOf({simpleStep(1)}));
    world->run(Milliseconds(100));
    world->delayStarts(world->coordinator(), Milliseconds(0));
    world->workers.crash("w0");
    world->workers.restart("w0", false);
    const std::size_t adopted = world->countInLogs("worker_adopted");
    REQUIRE(world->runUntil(
        [&world, adopted] {
            return world->countInLogs("worker_adopted") > adopted && !world->workers.runsOf(jobA).empty();
        },
        std::chrono::seconds(1)));
    REQUIRE(world->countInLogs("run_start") == 1);
    Resources capacity;
    capacity.milliCores = 4000;
    capacity.memoryMb = 100000;
    world->workers.add("w9", "dc-a", "r9", capacity);
    for (int i = 0; i < nodes; ++i) {
        world->workers.find("w0")->cutFrom.insert("node-" + std::to_string(i));
    }
    CHECK(reachesState(*world, 0, jobA, "complete", lostLimit));
    CHECK(world->workers.tasksRunTwice().empty());
}

// Guards against a task that starts after it is done: the next incarnation of its worker had carried the start out, and
// an acknowledgement of the former one's ends reached it, over a connection that outlived the restart, and dropped the
// end unread.
TEST_CASE("a worker that has left a call unanswered gets no acknowledgement before it has answered")
{
    constexpr Milliseconds downTime{10}; // An observation is lost.
    for (const int delay : {20, 50, 100, 200, 300}) {
        for (const bool isAnnounced : {true, false}) {
            INFO("under way for " << delay << " ms, announced " << isAnnounced);
            const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 2);
            world->workers.bindsAcknowledgements = false;
            world->workers.workOf = [](const TaskKey &) {
                return std::make_pair(Milliseconds(20), false);
            };
            world->submit(0, jobB, workflowOf({simpleStep(8), simpleStep(8)}));
            REQUIRE(reachesState(*world, 0, jobB, "complete", std::chrono::seconds(10)));
            world->delayStarts(world->coordinator(), Milliseconds(delay), true);
            world->submit(0, jobA, workflowOf({simpleStep(2)}));
            world->run(Milliseconds(3));
            for (const char *id : {"w0", "w1"}) {
                world->workers.crash(id);
            }
            world->run(downTime);
            for (const char *id : {"w0", "w1"}) {
                world->workers.restart(id, isAnnounced);
            }
            world->run(Milliseconds(100));
            world->delayStarts(world->coordinator(), Milliseconds(0));
            CHECK(reachesState(*world, 0, jobA, "complete", jobLimit));
            CHECK(world->workers.tasksRunTwice().empty());
        }
    }
}
