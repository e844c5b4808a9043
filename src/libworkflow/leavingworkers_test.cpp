// Load pattern: jobs wait for room while the coordinator changes and workers that get no starts do not answer.
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

/// By the users' definition, a job is lost if nothing of it runs for this long while there is room for it.
constexpr Milliseconds maxJobIdleTime{3000};
/// By then a coordinator has noticed a change of the list and written its record.
constexpr Milliseconds recordTime{500};
/// By then the lease of a worker that does not answer has expired.
constexpr Milliseconds leaseExpiryTimeout{6000};
/// By then a run is not new any more, so the end of its worker does not count against its job.
constexpr Milliseconds establishedTime{2500};
constexpr Milliseconds occupiedTime{20000};
constexpr Milliseconds waitingTime{10000};
const JobId lastingJob = "3000000000000000";

/// Three workers of one core: a lasting job on one, a job that occupies the others for occupiedTime, and jobA, which
/// waits for room.
std::unique_ptr<WorkflowWorld> worldWithWaitingJob()
{
    std::unique_ptr<WorkflowWorld> world = readyWorld(2, 3, 1);
    world->workers.workOf = [](const TaskKey &key) {
        return std::make_pair(key.job == lastingJob ? Milliseconds(600000)
                                  : key.job == jobB ? occupiedTime
                                                    : Milliseconds(100),
                              false);
    };
    StepSpec lasting = simpleStep(1);
    lasting.longRunning = true;
    world->submit(world->coordinator(), lastingJob, workflowOf({lasting}));
    world->run(Milliseconds(200));
    world->submit(world->coordinator(), jobB, workflowOf({simpleStep(2)}));
    world->run(Milliseconds(200));
    world->submit(world->coordinator(), jobA, workflowOf({simpleStep(1)}));
    world->run(establishedTime);
    REQUIRE(world->workers.runsOf(lastingJob).size() == 1);
    REQUIRE(world->workers.runsOf(jobB).size() == 2);
    REQUIRE(world->workers.runsOf(jobA).empty());
    return world;
}

WorkerId workerOfLastingJob(const WorkflowWorld &world)
{
    return world.workers.runsOf(lastingJob).back().worker;
}

void cutFromAll(WorkflowWorld *world, const WorkerId &id)
{
    world->workers.find(id)->cutFrom = {"node-0", "node-1"};
}

Resources cores(std::int64_t n)
{
    Resources capacity;
    capacity.milliCores = n * 1000;
    capacity.memoryMb = 100000;
    return capacity;
}

/// By the users' definition, a long-running task is lost if it does not run for this long while there is room for it.
constexpr Milliseconds maxLastingIdleTime{9000};
/// A little before the lease of a worker that has left expires.
constexpr Milliseconds almostLease{3700};
constexpr Milliseconds takeoverTime{2000};

/// The worker of the lasting job drains and leaves, while there is room for its task elsewhere.
void leaveWithRoomElsewhere(WorkflowWorld *world)
{
    const WorkerId leaving = workerOfLastingJob(*world);
    world->workers.setDraining(leaving);
    world->run(recordTime);
    world->workers.add("spare", "dc-a", "r8", cores(4));
    world->run(recordTime);
    world->workers.unlist(leaving);
    world->workers.crash(leaving);
}

/// Replaces the coordinator four times, each time before a lease has expired.
void replaceCoordinators(WorkflowWorld *world)
{
    for (int i = 0; i < 4; ++i) {
        const int killed = world->coordinator();
        REQUIRE(killed >= 0);
        world->kill(killed);
        world->run(Milliseconds(200));
        world->startNode(killed);
        world->runUntil(
            [world] {
                return world->coordinator() >= 0;
            },
            takeoverTime);
        world->run(almostLease / 2);
    }
}

/// For how many milliseconds the task of the lasting job was on no worker.
Milliseconds::rep lastingTaskIdleTime(WorkflowWorld *world)
{
    const auto runs = [world] {
        return world->workers.runsOf(lastingJob);
    };
    world->runUntil(
        [&runs] {
            return runs().size() > 1;
        },
        waitingTime);
    REQUIRE(runs().size() > 1);
    return std::chrono::duration_cast<Milliseconds>(runs().at(1).began - runs().at(0).ended).count();
}

/// Kills the coordinator and then adds a worker with room. Returns for how many milliseconds jobA waits from then on.
Milliseconds::rep waitAfterTakeover(WorkflowWorld *world)
{
    world->kill(world->coordinator());
    world->workers.add("spare", "dc-a", "r8", cores(4));
    const TimePoint since = world->world.now();
    world->runUntil(
        [world] {
            return !world->workers.runsOf(jobA).empty();
        },
        waitingTime);
    return std::chrono::duration_cast<Milliseconds>(world->world.now() - since).count();
}

} // namespace

// Guards against LOST: a worker leaves while the coordinator is replaced, and all tasks of earlier terms wait for its
// lease.
TEST_CASE("a worker that drains and leaves while the coordinator is replaced delays no other worker's tasks")
{
    const std::unique_ptr<WorkflowWorld> world = worldWithWaitingJob();
    world->workers.setDraining(workerOfLastingJob(*world));
    world->run(recordTime);
    world->workers.crash(workerOfLastingJob(*world));
    CHECK(waitAfterTakeover(world.get()) < maxJobIdleTime.count());
}

// Guards against the same for a worker whose entry is removed before it ends.
TEST_CASE("a worker that is unlisted and leaves while the coordinator is replaced delays no other worker's tasks")
{
    const std::unique_ptr<WorkflowWorld> world = worldWithWaitingJob();
    world->workers.unlist(workerOfLastingJob(*world));
    world->run(recordTime);
    world->workers.crash(workerOfLastingJob(*world));
    CHECK(waitAfterTakeover(world.get()) < maxJobIdleTime.count());
}

// Guards against LOST: a worker that was lost long ago, but is still listed, holds up each takeover by a lease.
TEST_CASE("a worker that is known to be lost delays no task after a takeover")
{
    const std::unique_ptr<WorkflowWorld> world = worldWithWaitingJob();
    world->workers.crash(workerOfLastingJob(*world));
    world->run(leaseExpiryTimeout);
    CHECK(waitAfterTakeover(world.get()) < maxJobIdleTime.count());
}

// Guards against LOST: an entry of the list that names no worker to use holds up each takeover by a lease.
TEST_CASE("an entry of the list that never answered delays no task after a takeover")
{
    const std::unique_ptr<WorkflowWorld> world = worldWithWaitingJob();
    world->workers.add("nobody", "dc-a", "r9", cores(1))->cutFrom = {"node-0", "node-1"};
    world->run(leaseExpiryTimeout);
    CHECK(waitAfterTakeover(world.get()) < maxJobIdleTime.count());
}

// Guards against TWICE: a leaving worker that the next coordinator does not reach runs on until its lease expires.
TEST_CASE("after a takeover a task on a leaving worker that can't be reached starts again only when its lease is over")
{
    const std::unique_ptr<WorkflowWorld> world = worldWithWaitingJob();
    const bool unlisted = GENERATE(false, true);
    const WorkerId leaving = workerOfLastingJob(*world);
    if (unlisted) {
        world->workers.unlist(leaving);
    } else {
        world->workers.setDraining(leaving);
    }
    world->run(recordTime);
    cutFromAll(world.get(), leaving);
    waitAfterTakeover(world.get());
    world->workers.add("spare-2", "dc-b", "r8", cores(4));
    world->run(leaseExpiryTimeout + maxJobIdleTime);
    CHECK(world->workers.runsOf(lastingJob).size() == 2);
    CHECK(world->workers.tasksRunTwice().empty());
}

// Guards against a worker that is left out for good once the record has named its runs.
TEST_CASE("a worker that is listed again gets tasks again")
{
    const std::unique_ptr<WorkflowWorld> world = worldWithWaitingJob();
    world->workers.add("spare", "dc-a", "r8", cores(4));
    world->run(recordTime);
    REQUIRE(world->workers.runsOf(jobA).size() == 1);
    world->workers.unlist("spare");
    world->run(recordTime);
    world->workers.list("spare");
    world->run(recordTime);
    const JobId next = "4000000000000000";
    world->submit(world->coordinator(), next, workflowOf({simpleStep(1)}));
    world->run(recordTime);
    CHECK(world->workers.runsOf(next).size() == 1);
}

// Guards against LOST: a long-running task does not run, with room for it, because the lease of the worker that it was
// on, which has left, begins anew with the next term.
TEST_CASE("the lease of a worker that has left does not begin anew when the coordinator is replaced")
{
    const std::unique_ptr<WorkflowWorld> world = worldWithWaitingJob();
    leaveWithRoomElsewhere(world.get());
    world->run(almostLease);
    world->kill(world->coordinator());
    CHECK(lastingTaskIdleTime(world.get()) < (almostLease + takeoverTime).count());
}

// Guards against the same when coordinators are replaced one after the other, as in a rolling restart.
TEST_CASE("takeovers that follow each other within a lease do not keep a task of a worker that has left from running")
{
    const std::unique_ptr<WorkflowWorld> world = worldWithWaitingJob();
    leaveWithRoomElsewhere(world.get());
    world->run(almostLease / 2);
    replaceCoordinators(world.get());
    CHECK(lastingTaskIdleTime(world.get()) < maxLastingIdleTime.count());
    CHECK(world->workers.tasksRunTwice().empty());
}

// Guards against the same if no coordinator has noticed that the worker does not answer before the first takeover.
TEST_CASE("takeovers that follow each other do not keep a task from running whose worker leaves during the first one")
{
    const std::unique_ptr<WorkflowWorld> world = worldWithWaitingJob();
    leaveWithRoomElsewhere(world.get());
    replaceCoordinators(world.get());
    CHECK(lastingTaskIdleTime(world.get()) < maxLastingIdleTime.count());
    CHECK(world->workers.tasksRunTwice().empty());
}

// Guards against TWICE: a coordinator that reaches a leaving worker again extends its lease beyond the recorded end.
TEST_CASE("the lease of a worker is not extended while the record names its end")
{
    const std::unique_ptr<WorkflowWorld> world = worldWithWaitingJob();
    const WorkerId leaving = workerOfLastingJob(*world);
    world->workers.add("spare", "dc-a", "r8", cores(4));
    world->workers.unlist(leaving);
    world->run(recordTime);
    cutFromAll(world.get(), leaving);
    world->run(recordTime + Milliseconds(1500)); // The pending observation has timed out, and the record is written.
    const int old = world->coordinator();
    const std::string oldName = "node-" + std::to_string(old);
    world->storeFaults(old).down = true;
    world->workers.find(leaving)->cutFrom.erase(oldName);
    world->run(Milliseconds(1200));
    world->pause(old);
    world->run(Milliseconds(8000));
    CHECK(world->workers.runsOf(lastingJob).size() == 2);
    CHECK(world->workers.tasksRunTwice().empty());
}

// Guards against TWICE: a start extends a lease whose recorded end the next coordinator relies on.
TEST_CASE("a worker gets no starts while the record names the end of its lease")
{
    const std::unique_ptr<WorkflowWorld> world = worldWithWaitingJob();
    StepSpec large = simpleStep(1);
    large.perTask.milliCores = 4000;
    const JobId largeJob = "4000000000000000";
    world->workers.add("spare", "dc-a", "r8", cores(4));
    world->run(recordTime);
    REQUIRE(world->workers.runsOf(jobA).size() == 1);
    world->kill(world->coordinator());
    cutFromAll(world.get(), "spare");
    world->workers.unlist("spare");
    world->run(takeoverTime);
    const int next = world->coordinator();
    REQUIRE(next >= 0);
    REQUIRE(world->submit(next, largeJob, workflowOf({large})) == CallerOutcome::Ok);
    world->storeFaults(next).down = true;
    world->workers.find("spare")->cutFrom.clear();
    world->workers.list("spare");
    world->run(Milliseconds(1000));
    CHECK(world->workers.runsOf(largeJob).empty());
    world->storeFaults(next).down = false;
    world->run(takeoverTime);
    CHECK(world->workers.runsOf(largeJob).size() == 1);
}
