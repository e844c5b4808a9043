// A gang ends as one run: the end of one member is the end of all, also of those whose workers can't tell.
#include "jobtable_pvt.h"
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

constexpr int nodes = 3;
constexpr std::uint32_t members = 2;
constexpr Milliseconds workTime{3000};
constexpr std::chrono::seconds endLimit{10};

StepSpec gangStep()
{
    StepSpec step = simpleStep(members);
    step.gang = true;
    step.maxPerWorker = 1;
    return step;
}

/// A gang of jobA has done half of its work when the worker of its last member is cut off. It then ends, and the end of
/// the other member is acknowledged.
struct CutGang
{
    CutGang()
        : world(readyWorld(nodes, 6))
    {
        world->workers.workOf = [](const TaskKey &key) {
            return std::make_pair(key.index == 0 ? workTime : 10 * workTime, false);
        };
        REQUIRE(world->submit(0, jobA, workflowOf({gangStep()})) == CallerOutcome::Ok);
        world->run(workTime / 2);
        REQUIRE(world->workers.runsOf(jobA).size() == members);
        cut = world->workers.runsOf(jobA).back().worker;
        for (int i = 0; i < nodes; ++i) {
            world->workers.find(cut)->cutFrom.insert("node-" + std::to_string(i));
        }
    }

    void awaitEnd()
    {
        REQUIRE(world->runUntil(
            [this] {
                return world->workers.runsOf(jobA).front().acknowledged;
            },
            std::chrono::seconds(5)));
    }

    void reconnect()
    {
        world->workers.find(cut)->cutFrom.clear();
    }

    void checkDoneOnce(int node)
    {
        CHECK(reachesState(*world, node, jobA, "complete", endLimit));
        world->run(endLimit);
        CHECK(world->workers.runsOf(jobA).size() == members);
    }

    std::unique_ptr<WorkflowWorld> world;
    WorkerId cut;
};

} // namespace

// Guards against a member that is started again alone, without end: its worker crashed while it was cut off, after the
// gang had ended.
TEST_CASE("a gang is done when one member has ended done, although another's worker has crashed behind a cut")
{
    CutGang gang;
    gang.awaitEnd();
    gang.world->workers.crash(gang.cut);
    gang.world->run(Milliseconds(500));
    gang.reconnect();
    gang.world->workers.restart(gang.cut);
    gang.checkDoneOnce(0);
}

// Guards against the same where the worker comes back and lists its member as lapsed, which its lease did meanwhile.
TEST_CASE("a gang stays done when a worker that was cut off lists its member as lapsed")
{
    CutGang gang;
    gang.awaitEnd();
    gang.world->run(std::chrono::seconds(6));
    gang.reconnect();
    gang.checkDoneOnce(0);
}

// Guards against the same in the next term, which knows only what the store has of the gang.
TEST_CASE("a gang stays done after a takeover while the worker of a member is cut off")
{
    CutGang gang;
    gang.awaitEnd();
    const int old = gang.world->coordinator();
    gang.world->kill(old);
    gang.world->run(std::chrono::seconds(3));
    gang.world->workers.crash(gang.cut);
    gang.reconnect();
    gang.world->workers.restart(gang.cut);
    gang.checkDoneOnce(otherThan(old, nodes));
}

// Guards against a member that runs on after its job was cancelled, because the gang had ended elsewhere.
TEST_CASE("a gang that ends after its job was cancelled stays cancelled, and none of it runs on")
{
    CutGang gang;
    gang.world->run(Milliseconds(1000));
    CHECK(gang.world->cancel(0, jobA) == CallerOutcome::Ok);
    gang.world->run(Milliseconds(1500));
    gang.reconnect();
    gang.world->run(std::chrono::seconds(2));
    CHECK(gang.world->state(0, jobA) == "cancelled");
    gang.world->workers.settleAll();
    const std::vector<SimWorkers::RunRecord> runs = gang.world->workers.runsOf(jobA);
    CHECK(runs.size() == members);
    CHECK(std::none_of(runs.begin(), runs.end(), [](const SimWorkers::RunRecord &run) {
        return run.ended == TimePoint{};
    }));
}

// Guards against a smaller gang started for the members that an earlier version of this program did not count as done.
TEST_CASE("a gang of which the store has one member as done is done")
{
    JobTable jobs;
    Job *job =
        jobs.add(jobA, workflowOf({gangStep(), simpleStep(1)}), QueuePolicy{}, WallTime{}, TimePoint{}, WallTime{});
    const nlohmann::json progress{{"phase", static_cast<int>(JobPhase::InProgress)},
                                  {"open", {{0, {{{"done", {1}}}, nlohmann::json::object()}}}}};
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(progress);
    jobs.applyProgress(job, std::string(bytes.begin(), bytes.end()), TimePoint{}, WallTime{});
    CHECK(job->open.at(0)->steps.at(0).tasksLeft == 0);
    CHECK(job->open.at(0)->steps.at(1).tasksLeft == 1);
}
