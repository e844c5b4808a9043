// Coordinators that are lost, replaced, or cut off, and stores that are down, silent or slow, in virtual time.
#include "readyworld_pvt.h"
#include "rows_pvt.h"
#include "workflowworld_pvt.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

TEST_CASE("killed coordinator: running tasks continue, waiting ones start soon, none runs twice")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(3, 4);
    world->workers.workOf = [](const TaskKey &key) {
        return std::make_pair(key.step == 0 ? Milliseconds(3000) : Milliseconds(200), false);
    };
    StepSpec second = simpleStep(8);
    second.dependsOn = {0};
    world->submit(0, jobA, workflowOf({simpleStep(8), second}));
    world->submit(0, jobB, workflowOf({simpleStep(20)}));
    world->run(Milliseconds(500));
    const int killed = world->coordinator();
    const TimePoint killedAt = world->world.now();
    world->kill(killed);
    const int node = otherThan(killed, 3);
    CHECK(world->runUntil(
        [&] {
            return world->coordinator() >= 0;
        },
        std::chrono::seconds(3)));
    CHECK(world->world.now() - killedAt < Milliseconds(2000));
    CHECK(reachesState(*world, node, jobA, "complete", std::chrono::seconds(10)));
    CHECK(reachesState(*world, node, jobB, "complete", std::chrono::seconds(30)));
    CHECK(world->workers.tasksRunTwice().empty());
    for (const SimWorkers::RunRecord &run : world->workers.runs()) {
        CHECK(run.how == RunEnd::Done);
    }
}

TEST_CASE("a paused coordinator that resumes after it was replaced starts nothing")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(3, 2);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(700), false);
    };
    world->submit(0, jobA, workflowOf({simpleStep(40)}));
    world->run(Milliseconds(1000));
    const int paused = world->coordinator();
    world->pause(paused);
    world->run(Milliseconds(2500));
    world->resume(paused);
    const int node = otherThan(paused, 3);
    CHECK(reachesState(*world, node, jobA, "complete", std::chrono::seconds(30)));
    CHECK(world->workers.tasksRunTwice().empty());
}

TEST_CASE("all nodes killed at once: accepted jobs finish after the restart, once")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(3, 3);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(400), false);
    };
    world->submit(0, jobA, workflowOf({simpleStep(60)}));
    world->run(Milliseconds(1000));
    for (int i = 0; i < 3; ++i) {
        world->kill(i);
    }
    world->run(Milliseconds(1000));
    for (int i = 0; i < 3; ++i) {
        world->startNode(i);
    }
    CHECK(reachesState(*world, 0, jobA, "complete", std::chrono::seconds(30)));
    CHECK(world->workers.tasksRunTwice().empty());
}

TEST_CASE("store down: accepted jobs continue, submissions are refused or have an unknown outcome, and none is lost")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(3, 2, 2);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(400), false);
    };
    world->submit(0, jobA, workflowOf({simpleStep(40)}));
    world->run(Milliseconds(800));
    for (int i = 0; i < 3; ++i) {
        world->storeFaults(i).down = true;
    }
    const std::size_t before = world->workers.runsOf(jobA).size();
    CHECK(world->submit(0, jobB, workflowOf({simpleStep(1)})) != CallerOutcome::Ok);
    world->run(std::chrono::seconds(3));
    CHECK(world->workers.runsOf(jobA).size() >= before + 16);
    for (int i = 0; i < 3; ++i) {
        world->storeFaults(i).down = false;
    }
    CHECK(reachesState(*world, 0, jobA, "complete", std::chrono::seconds(20)));
    CHECK(world->workers.tasksRunTwice().empty());
    for (const SimWorkers::RunRecord &run : world->workers.runs()) {
        CHECK(run.how == RunEnd::Done);
    }
}

TEST_CASE("the store refuses the coordinator alone: another node takes over")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(3, 2);
    const int cut = world->coordinator();
    world->storeFaults(cut).down = true;
    CHECK(world->runUntil(
        [&] {
            return world->coordinator() >= 0 && world->coordinator() != cut;
        },
        std::chrono::seconds(6)));
    const int node = world->coordinator();
    world->submit(node, jobA, workflowOf({simpleStep(4)}));
    CHECK(reachesState(*world, node, jobA, "complete", std::chrono::seconds(5)));
    CHECK(world->workers.tasksRunTwice().empty());
}

TEST_CASE("coordinator killed while a worker is unreachable: tasks that may run there wait, the others continue")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(3, 3, 2);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(1500), false);
    };
    world->submit(0, jobA, workflowOf({simpleStep(30)}));
    world->run(Milliseconds(400));
    for (int i = 0; i < 3; ++i) {
        world->workers.find("w1")->cutFrom.insert("node-" + std::to_string(i));
    }
    world->run(Milliseconds(1800)); // The record names the runs of the silent worker.
    world->kill(world->coordinator());
    const std::size_t before = world->workers.runsOf(jobA).size();
    world->run(std::chrono::seconds(3));
    CHECK(world->workers.runsOf(jobA).size() > before + 3);
    const int node = world->coordinator();
    REQUIRE(node >= 0);
    CHECK(reachesState(*world, node, jobA, "complete", std::chrono::seconds(60)));
    CHECK(world->workers.tasksRunTwice().empty());
}

TEST_CASE("store silent under a stream of submissions: callers are refused at once, not held one after the other")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(2, 1);
    world->storeFaults(0).down = true;
    world->storeFaults(0).timeout = Milliseconds(1000);
    int held = 0;
    int refused = 0;
    std::vector<TimePoint> sentAt;
    for (int i = 0; i < 40; ++i) {
        const JobId id = "000000000000a0" + std::to_string(10 + i);
        const TimePoint sent = world->world.now();
        world->submitLater(0, id, workflowOf({simpleStep(1)}), [&, sent](const CallerAnswer &answer) {
            const bool quick = world->world.now() - sent < Milliseconds(50);
            held += quick ? 0 : 1;
            refused += quick && answer.outcome == CallerOutcome::Unavailable && answer.retryAfter.count() > 0 ? 1 : 0;
        });
        world->run(Milliseconds(100));
    }
    world->run(std::chrono::seconds(3));
    CHECK(held + refused == 40);
    CHECK(held <= 10);
    // What was refused has not been stored, and never will be.
    world->storeFaults(0).down = false;
    world->run(std::chrono::seconds(2));
    CHECK(world->submit(0, jobA, workflowOf({simpleStep(1)})) == CallerOutcome::Ok);
}

TEST_CASE(
    "the coordinator's watches are not answered: jobs accepted at any node start at once, and cancelled ones stop")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(3, 2, 4);
    world->workers.workOf = [](const TaskKey &key) {
        return std::make_pair(Milliseconds(key.job == jobB ? 60000 : 100), false);
    };
    world->storeFaults(world->coordinator()).watchesSilent = true;
    world->run(std::chrono::seconds(1)); // The pending watch ends with the next change, or by its timeout.
    for (int i = 0; i < 3; ++i) {
        const JobId id = "000000000000000" + std::to_string(i);
        CHECK(world->submit(i, id, workflowOf({simpleStep(2)})) == CallerOutcome::Ok);
        world->run(Milliseconds(60));
        CHECK(world->workers.runsOf(id).size() == 2);
    }
    CHECK(world->submit(otherThan(world->coordinator(), 3), jobB, workflowOf({simpleStep(2)})) == CallerOutcome::Ok);
    world->run(Milliseconds(100));
    CHECK(world->cancel(otherThan(world->coordinator(), 3), jobB) == CallerOutcome::Ok);
    world->run(Milliseconds(100));
    for (const SimWorkers::RunRecord &run : world->workers.runsOf(jobB)) {
        CHECK(run.how == RunEnd::Stopped);
    }
    CHECK(world->workers.tasksRunTwice().empty());
}

TEST_CASE("a coordinator that does not know of its replacement is not notified of jobs that its successor starts")
{
    // Node `old` reaches half of the workers and node `friendly`, gets no answers to its watches of the store, and
    // can't reach the third node, which takes over and reaches the other half of the workers.
    const std::unique_ptr<WorkflowWorld> world = readyWorld(3, 4);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(2000), false);
    };
    const int old = world->coordinator();
    const int friendly = otherThan(old, 3);
    const int next = otherThan(friendly, 3);
    const auto name = [](int node) {
        return "node-" + std::to_string(node);
    };
    for (const int node : {old, friendly}) {
        world->network.setCut(name(node), name(next), true);
        world->network.setCut(name(next), name(node), true);
    }
    world->storeFaults(old).watchesSilent = true;
    for (int i = 0; i < 4; ++i) {
        world->workers.find("w" + std::to_string(i))->cutFrom.insert(name(i % 2 == 0 ? old : next));
    }
    int accepted = 0;
    for (int i = 0; i < 30; ++i) {
        const JobId id = "00000000000000" + std::to_string(10 + i);
        world->submitLater(friendly, id, workflowOf({simpleStep(1)}), [&accepted](const CallerAnswer &answer) {
            accepted += answer.outcome == CallerOutcome::Ok ? 1 : 0;
        });
        world->run(Milliseconds(100));
    }
    world->run(std::chrono::seconds(15));
    CHECK(accepted == 30);
    CHECK(world->workers.tasksRunTwice().empty());
}

TEST_CASE("the coordinator loses the store under a stream of jobs: another node starts them within 1.5 s")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(3, 4, 8);
    const int cut = world->coordinator();
    const int node = otherThan(cut, 3);
    const auto submitFor = [&](int first, int jobs) {
        for (int i = first; i < first + jobs; ++i) {
            world->submitLater(node, "00000000000000" + std::to_string(10 + i), workflowOf({simpleStep(1)}),
                               [](const CallerAnswer &) {});
            world->run(Milliseconds(100));
        }
    };
    submitFor(0, 5);
    world->storeFaults(cut).down = true;
    world->storeFaults(cut).timeout = Milliseconds(1000);
    const TimePoint cutAt = world->world.now();
    submitFor(5, 15);
    CHECK(world->coordinator() != cut);
    world->run(Milliseconds(500));
    for (int i = 5; i < 20; ++i) {
        const std::vector<SimWorkers::RunRecord> runs =
            world->workers.runsOf("00000000000000" + std::to_string(10 + i));
        REQUIRE(runs.size() == 1);
        CHECK(runs.front().began - cutAt < Milliseconds(100 * (i - 5) + 1500));
    }
    CHECK(world->workers.tasksRunTwice().empty());
}

TEST_CASE("orders lost during a takeover delay waiting jobs by half a second, not by seconds")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(3, 40, 4);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(100), false);
    };
    for (int i = 0; i < 3; ++i) {
        world->dropObservations(i, 9);
    }
    const int killed = world->coordinator();
    world->kill(killed);
    world->run(Milliseconds(100));
    world->submitLater(otherThan(killed, 3), jobA, workflowOf({simpleStep(8)}), [](const CallerAnswer &) {});
    REQUIRE(world->runUntil(
        [&] {
            return world->coordinator() >= 0;
        },
        std::chrono::seconds(3)));
    const TimePoint tookOverAt = world->world.now();
    REQUIRE(world->runUntil(
        [&] {
            return world->workers.runsOf(jobA).size() == 8;
        },
        std::chrono::seconds(5)));
    CHECK(world->world.now() - tookOverAt < Milliseconds(500));
    CHECK(world->workers.tasksRunTwice().empty());
}

TEST_CASE("takeovers while the store is slow: active runs keep their leases")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(4, 4, 8);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(60000), false);
    };
    world->submit(0, jobA, workflowOf({simpleStep(16)}));
    world->run(Milliseconds(1000));
    for (int i = 0; i < 4; ++i) {
        world->storeFaults(i).latency = Milliseconds(700);
        world->storeFaults(i).timeout = Milliseconds(1200);
        world->storeFaults(i).scanRounds = 4;
    }
    for (int takeover = 0; takeover < 3; ++takeover) {
        const int killed = world->coordinator();
        REQUIRE(killed >= 0);
        world->kill(killed);
        REQUIRE(world->runUntil(
            [&] {
                return world->coordinator() >= 0;
            },
            std::chrono::seconds(6)));
        world->run(Milliseconds(900)); // Less than it takes to read all jobs.
    }
    world->run(std::chrono::seconds(10));
    const std::vector<SimWorkers::RunRecord> runs = world->workers.runsOf(jobA);
    CHECK(runs.size() == 16);
    CHECK(std::none_of(runs.begin(), runs.end(), [](const auto &run) {
        return run.ended != TimePoint{};
    }));
}

TEST_CASE("ended jobs are removed with all their rows, also when the coordinator is killed in between")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(3, 2, 8);
    for (int i = 0; i < 20; ++i) {
        const JobId id = std::string(1, "0123456789abcdef"[i % 16]) + "00000000000000" + std::to_string(i % 10);
        world->submit(i % 3, id, workflowOf({simpleStep(1)}));
    }
    world->cancel(0, "0000000000000000");
    world->run(std::chrono::seconds(129));
    for (int i = 0; i < 12; ++i) {
        const int killed = world->coordinator();
        if (killed >= 0) {
            world->kill(killed);
            world->startNode(killed);
        }
        world->run(Milliseconds(1700));
    }
    world->run(std::chrono::seconds(150)); // A new coordinator restarts the retention period.
    CHECK(world->rows.scan("job/").rows.size() == 1); // The term marker.
    CHECK(world->rows.scan("progress/").rows.empty());
    CHECK(world->workers.tasksRunTwice().empty());
}

TEST_CASE("a store that is slow for all nodes: the coordinator stays")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(3, 4, 8);
    const int coordinator = world->coordinator();
    for (int i = 0; i < 3; ++i) {
        world->storeFaults(i).latency = Milliseconds(600);
        world->storeFaults(i).timeout = Milliseconds(1000);
    }
    for (int i = 0; i < 40; ++i) {
        world->submitLater(i % 3, "00000000000000" + std::to_string(10 + i), workflowOf({simpleStep(1)}),
                           [](const CallerAnswer &) {});
        world->run(Milliseconds(100));
        CHECK(world->coordinator() == coordinator);
    }
}

TEST_CASE("a node without a catalog does not coordinate, and takes over once it has one")
{
    WorkflowWorld world(1);
    world.restartWithoutCatalog(0);
    Resources capacity;
    capacity.milliCores = 4000;
    capacity.memoryMb = 100000;
    world.workers.add("w0", "dc-a", "r0", capacity);
    world.run(Milliseconds(3000));
    CHECK(world.coordinator() == -1);
    CHECK(world.submit(0, jobA, workflowOf({simpleStep(2)})) == CallerOutcome::Ok);
    world.setCatalog(world.catalog);
    CHECK(reachesState(world, 0, jobA, "complete", std::chrono::seconds(5)));
}

TEST_CASE(
    "a worker is lost together with the coordinator: new jobs start at once, earlier ones when its lease has expired")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(3, 6, 4);
    world->workers.workOf = [](const TaskKey &key) {
        return std::make_pair(Milliseconds(key.job == jobA ? 20000 : 100), false);
    };
    world->submit(0, jobA, workflowOf({simpleStep(12)}));
    world->run(Milliseconds(500));
    const WorkerId lost = world->workers.runsOf(jobA).front().worker;
    const int killed = world->coordinator();
    world->workers.crash(lost);
    world->kill(killed);
    REQUIRE(world->runUntil(
        [&] {
            return world->coordinator() >= 0;
        },
        std::chrono::seconds(3)));
    world->run(Milliseconds(200)); // The other nodes know of the new term.
    for (int i = 0; i < 10; ++i) {
        const JobId id = "000000000000000" + std::to_string(i);
        CHECK(world->submit(otherThan(killed, 3), id, workflowOf({simpleStep(1)})) == CallerOutcome::Ok);
        world->run(Milliseconds(100));
        CHECK(world->workers.runsOf(id).size() == 1);
    }
    CHECK(world->workers.runsOf(jobA).size() == 12); // The tasks of the lost worker wait.
    world->run(std::chrono::seconds(8));
    CHECK(world->workers.runsOf(jobA).size() > 12);
    CHECK(world->workers.tasksRunTwice().empty());
}

// Guards against a state that goes back: a caller who was told of a job's end must not be told later that it still
// runs.
TEST_CASE("a coordinator that was replaced during a short pause tells no older state of a job")
{
    constexpr int nodes = 3;
    const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 2, 8);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(500), false);
    };
    const int old = world->coordinator();
    const int other = otherThan(old, nodes);
    world->storeFaults(old).watchesSilent = true;
    world->run(Milliseconds(1200)); // Until the last watch has been answered.
    world->submit(old, jobA, workflowOf({simpleStep(4)}));
    world->run(Milliseconds(100));
    REQUIRE(world->workers.runsOf(jobA).size() == 4);
    // It gets no news of its replacement, and the pause is shorter than the time for which it may act.
    const NodeId oldName = "node-" + std::to_string(old);
    for (int i = 0; i < nodes; ++i) {
        world->network.setCut("node-" + std::to_string(i), oldName, true);
    }
    for (const char *worker : {"w0", "w1"}) {
        world->workers.find(worker)->cutFrom.insert(oldName);
    }
    world->pause(old);
    REQUIRE(reachesState(*world, other, jobA, "complete", Milliseconds(1300)));
    world->resume(old);
    CHECK(world->state(old, jobA) == "complete");
}

// Guards against a state that goes back: another node reads the end of a job in the store before the coordinator, whose
// answer to the write is lost, knows that it is there.
TEST_CASE("a coordinator that lost the answer to the write of an end tells the end that others read in the store")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(3, 2, 8);
    const int coordinator = world->coordinator();
    const JobId earlier = "b000000000000001";
    world->workers.workOf = [&earlier](const TaskKey &key) {
        return std::make_pair(Milliseconds(key.job == earlier ? 100 : 250), false);
    };
    world->submit(coordinator, jobA, workflowOf({simpleStep(1)}));
    world->submit(coordinator, earlier, workflowOf({simpleStep(1)}));
    world->run(Milliseconds(180)); // The write of the end of the earlier job has just confirmed the term.
    world->storeFaults(coordinator).loseAnswer = 1;
    world->storeFaults(coordinator).timeout = Milliseconds(3000);
    world->run(Milliseconds(160));
    REQUIRE(world->rows.read({rows::progress(jobA)}).rows.size() == 1);
    CHECK(world->state(coordinator, jobA) == "complete");
}

TEST_CASE("a job that is done when its cancellation arrives is not told as cancelled by its coordinator")
{
    constexpr int nodes = 3;
    const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 2, 8);
    const int coordinator = world->coordinator();
    world->submit(coordinator, jobA, workflowOf({simpleStep(4)}));
    world->storeFaults(coordinator).loseRequest = 1; // The end can't be written.
    world->run(Milliseconds(300));
    world->cancel(otherThan(coordinator, nodes), jobA);
    CHECK(world->state(coordinator, jobA) == "in_progress");
    world->storeFaults(coordinator).loseRequest = 0;
    CHECK(reachesState(*world, coordinator, jobA, "complete", std::chrono::seconds(3)));
}

// Guards against orders of two terms at the same time (TWICE): a coordinator that has nothing to write, and whose term
// another node that has not heard of its replacement confirms, believed in its term for as long as its watches of the
// store stayed silent.
TEST_CASE("a coordinator that others still believe in learns of its replacement from the store")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(3, 4);
    const int old = world->coordinator();
    const int friendly = otherThan(old, 3);
    const int next = otherThan(friendly, 3);
    const auto name = [](int node) {
        return "node-" + std::to_string(node);
    };
    for (const int node : {old, friendly}) {
        world->network.setCut(name(node), name(next), true);
        world->network.setCut(name(next), name(node), true);
    }
    world->storeFaults(old).watchesSilent = true;
    REQUIRE(world->runUntil(
        [&] {
            return world->log(next).count("term_begun") > 0;
        },
        std::chrono::seconds(3)));
    CHECK(world->runUntil(
        [&] {
            return world->log(old).count("term_ended") > 0;
        },
        Milliseconds(1400)));
}
