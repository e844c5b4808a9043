// Requests about jobs of other accounts: at the coordinator, at another node, and with the coordinator gone.
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

constexpr int nodes = 3;
const JobId shortJob = "00000000000000cc";

/// Two nodes with a long job of `kaje` as jobA.
std::unique_ptr<WorkflowWorld> worldWithJob()
{
    std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 2);
    world->workers.workOf = [](const TaskKey &key) {
        return std::make_pair(Milliseconds(key.job == shortJob ? 100 : 60000), false);
    };
    world->account = "kaje";
    REQUIRE(world->submit(0, jobA, workflowOf({simpleStep(2)})) == CallerOutcome::Ok);
    world->run(Milliseconds(300));
    return world;
}

/// Requests of another account through @p node change nothing and tell nothing.
void checkIsClosed(WorkflowWorld &world, int node)
{
    world.account = "lemu";
    CHECK(world.submit(node, jobA, workflowOf({simpleStep(1)})) == CallerOutcome::OtherAccount);
    CHECK(world.state(node, jobA).empty());
    CHECK(world.cancel(node, jobA) == CallerOutcome::OtherAccount);
    world.account = "kaje";
    CHECK(world.submit(node, jobA, workflowOf({simpleStep(2)})) == CallerOutcome::Ok);
    CHECK_FALSE(world.state(node, jobA).empty());
}

} // namespace

// Guards against a caller that learns of, repeats or cancels a job of another account.
TEST_CASE("jobs of an account are closed to other accounts at each node")
{
    const std::unique_ptr<WorkflowWorld> world = worldWithJob();
    for (int node = 0; node < nodes; ++node) {
        checkIsClosed(*world, node);
    }
    world->run(Milliseconds(300));
    for (const SimWorkers::RunRecord &run : world->workers.runsOf(jobA)) {
        CHECK(run.ended == TimePoint{});
    }
    world->account = "kaje";
    CHECK(world->cancel(0, jobA) == CallerOutcome::Ok);
}

// Guards against answers from the memory of the coordinator, which are given without the job's row where the state is
// final or the term is confirmed.
TEST_CASE("the state of a job of another account is not told from the memory of the coordinator")
{
    const std::unique_ptr<WorkflowWorld> world = worldWithJob();
    REQUIRE(world->submit(0, shortJob, workflowOf({simpleStep(1)})) == CallerOutcome::Ok);
    REQUIRE(reachesState(*world, 0, shortJob, "complete", std::chrono::seconds(5)));
    for (int node = 0; node < nodes; ++node) {
        for (const JobId &job : {jobA, shortJob}) {
            world->account = "lemu";
            CHECK(world->state(node, job).empty());
            world->account = "kaje";
            CHECK_FALSE(world->state(node, job).empty());
        }
    }
}

// Guards against nodes that ask the store instead of the coordinator and leave the account out there.
TEST_CASE("jobs of an account are closed to other accounts while there is no coordinator")
{
    const std::unique_ptr<WorkflowWorld> world = worldWithJob();
    const int gone = world->coordinator();
    const int node = otherThan(gone, nodes);
    world->kill(gone);
    checkIsClosed(*world, node);
    world->run(std::chrono::seconds(4));
    REQUIRE(world->coordinator() >= 0);
    checkIsClosed(*world, node);
}

// Guards against requests to a public route, which need no key, reaching the jobs of accounts on other routes.
TEST_CASE("a public route reaches its own jobs, and no job of an account on another route")
{
    const std::unique_ptr<WorkflowWorld> world = worldWithJob();
    REQUIRE(world->submit(0, jobB, workflowOf({simpleStep(1)}), "urgent") == CallerOutcome::Ok);
    world->run(Milliseconds(300));
    world->account.clear();
    world->publicRoute = "urgent";
    for (int node = 0; node < nodes; ++node) {
        CHECK(world->state(node, jobA).empty());
        CHECK(world->cancel(node, jobA) == CallerOutcome::OtherAccount);
        CHECK(world->submit(node, jobA, workflowOf({simpleStep(1)}), "urgent") == CallerOutcome::OtherAccount);
        CHECK(world->state(node, jobB) == "in_progress");
    }
    CHECK(world->cancel(0, jobB) == CallerOutcome::Ok);
}

TEST_CASE("jobs without an account are open to all")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 2);
    REQUIRE(world->submit(0, jobA, workflowOf({simpleStep(2)})) == CallerOutcome::Ok);
    world->account = "lemu";
    CHECK(world->submit(1, jobA, workflowOf({simpleStep(2)})) == CallerOutcome::Ok);
    CHECK_FALSE(world->state(1, jobA).empty());
}
