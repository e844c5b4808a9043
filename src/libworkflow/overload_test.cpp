// Load pattern: more tasks come due at once than the coordinator's processor can start within the timeout of an order.
#include "readyworld_pvt.h"
#include "startwindow_pvt.h"
#include "workflowworld_pvt.h"

#include <catch2/catch.hpp>

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
