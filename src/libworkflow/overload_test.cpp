// Load pattern: more tasks come due at once than the coordinator's processor can start within the timeout of an order.
#include "readyworld_pvt.h"
#include "startwindow_pvt.h"
#include "workflowworld_pvt.h"

#include <catch2/catch.hpp>
#include <set>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

constexpr int workers = 120;
constexpr std::int64_t cores = 32;

/// Lines of event @p event whose outcome is @p outcome.
std::size_t linesWith(const MemoryLog &log, const std::string &event, const std::string &outcome)
{
    std::size_t n = 0;
    for (const std::string &line : log.lines) {
        n += line.find("event=" + event + " ") != std::string::npos
                && line.find(" outcome=" + outcome) != std::string::npos
            ? 1
            : 0;
    }
    return n;
}

} // namespace

// Guards against a collapse under load: answers that are handled after their timeout are lost, healthy workers count as
// silent, and tasks that were done are run again.
TEST_CASE("a burst on a slow processor makes tasks wait, and loses no answers")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, workers, cores);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(600), false);
    };
    world->setAnswerTime(0,
                         Milliseconds(3)); // About 160 tasks a second, with an answer to the start and one to the end.
    constexpr int jobs = 25;
    for (int i = 0; i < jobs; ++i) {
        world->submitLater(0, "b0000000000000" + std::to_string(10 + i), workflowOf({simpleStep(40)}),
                           [](const CallerAnswer &) {});
    }
    world->run(std::chrono::seconds(20));
    for (int i = 0; i < jobs; ++i) {
        CHECK(world->state(0, "b0000000000000" + std::to_string(10 + i)) == "complete");
    }
    CHECK(world->workers.runs().size() == jobs * 40);
    CHECK(world->workers.tasksRunTwice().empty());
    CHECK(linesWith(world->log(0), "run_start", "no-answer") <= 10); // Until the window has found its size.
    CHECK(world->log(0).count("worker_silent") == 0);
}

// Guards against accepted work that never starts (LOST): the coordinator does not keep up with what comes due, and jobs
// that are too late to be of use wait behind it for good, though most of the workers' room is free.
TEST_CASE("a backlog of more urgent starts does not hold up a late job for good")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, workers, cores);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(300), false);
    };
    world->setAnswerTime(0, Milliseconds(4));
    constexpr int jobs = 80;
    const auto idOf = [](int i) {
        return "b0000000000000" + std::to_string(10 + i);
    };
    for (int i = 0; i < jobs; ++i) {
        world->submitLater(0, idOf(i), workflowOf({simpleStep(50)}), [](const CallerAnswer &) {});
        world->run(Milliseconds(150));
    }
    world->run(Milliseconds(500));
    int waiting = 0;
    for (int i = 0; i < jobs - 30; ++i) { // They were accepted five seconds ago and earlier.
        waiting += world->workers.runsOf(idOf(i)).empty() ? 1 : 0;
    }
    CHECK(waiting == 0);
    CHECK(world->workers.tasksRunTwice().empty());
}

// Guards against long-running tasks that stay without a run (LOST) once they have lost theirs in a backlog.
TEST_CASE("long-running tasks that lost their worker start again soon in a backlog of urgent starts")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, workers, cores);
    const JobId lasting = jobB;
    world->workers.workOf = [&lasting](const TaskKey &key) {
        return std::make_pair(Milliseconds(key.job == lasting ? 600000 : 300), false);
    };
    StepSpec step = simpleStep(12);
    step.longRunning = true;
    REQUIRE(world->submit(0, lasting, workflowOf({step})) == CallerOutcome::Ok);
    world->run(std::chrono::seconds(1));
    world->setAnswerTime(0, Milliseconds(4));
    const auto submitUrgent = [&world](int first, int count) {
        for (int i = first; i < first + count; ++i) {
            world->submit(0, "b000000000000" + std::to_string(100 + i), workflowOf({simpleStep(50)}), "urgent");
            world->run(Milliseconds(140));
        }
    };
    submitUrgent(0, 10);
    std::set<WorkerId> crashed;
    for (const SimWorkers::RunRecord &run : world->workers.runsOf(lasting)) {
        if (crashed.size() < 3 && crashed.insert(run.worker).second) {
            world->workers.crash(run.worker);
        }
    }
    const TimePoint crashedAt = world->world.now();
    submitUrgent(10, 80);
    std::size_t atWork = 0;
    for (const SimWorkers::RunRecord &run : world->workers.runsOf(lasting)) {
        if (run.ended == TimePoint{}) {
            ++atWork;
            CHECK(run.began - crashedAt < Milliseconds(8000)); // The lease, and the starvation timeout.
        }
    }
    CHECK(atWork == 12);
    CHECK(world->workers.tasksRunTwice().empty());
}

TEST_CASE("the window of starts shrinks with the median latency, and grows when it was full and latency is low")
{
    StartWindow window;
    TimePoint now{};
    const auto answerAll = [&](Milliseconds latency, std::uint64_t n) {
        for (std::uint64_t i = 0; i < n; ++i) {
            window.recordSent();
        }
        now += Milliseconds(200);
        for (std::uint64_t i = 0; i < n; ++i) {
            window.recordAnswer(latency, now);
        }
    };
    const std::uint64_t initial = window.size();
    answerAll(Milliseconds(50), 10);
    CHECK(window.size() == initial); // It was not full.
    for (int i = 0; i < 40; ++i) {
        answerAll(Milliseconds(400), 10);
    }
    const std::uint64_t least = window.size();
    CHECK(least < initial);
    CHECK(least >= 16);
    for (int i = 0; i < 40; ++i) {
        answerAll(Milliseconds(50), window.size());
    }
    CHECK(window.size() > initial);
    const std::uint64_t most = window.size();
    for (std::uint64_t i = 0; i < most; ++i) {
        window.recordSent();
    }
    CHECK(window.room() == 0);
}
