// Load pattern: a fleet of more workers than one row of the store can name.
#include "readyworld_pvt.h"
#include "recordpart_pvt.h"
#include "rows_pvt.h"
#include "workerrecord_pvt.h"
#include "workflowworld_pvt.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

constexpr int fleetSize = 1100;
constexpr std::int64_t cores = 32;
const JobId job = "a000000000000001";

/// A step with one task on each worker of the fleet.
StepSpec stepForAllWorkers()
{
    StepSpec step = simpleStep(fleetSize);
    step.maxPerWorker = 1;
    return step;
}

std::size_t recordRows(const WorkflowWorld &world)
{
    return world.rows.scan(rows::wholeWorkerRecord()).rows.size();
}

void putRow(WorkflowWorld *world, const std::string &key, const std::string &value)
{
    Transaction transaction;
    transaction.puts.push_back({key, value});
    REQUIRE(world->rows.commit(transaction).status == CommitStatus::Committed);
}

/// Unlists worker @p id until the coordinator has forgotten it, and lists it again between two writes of the progress.
void forgetAndListAgain(WorkflowWorld *world, const WorkerId &id)
{
    world->run(std::chrono::seconds(8)); // Until the leases that an earlier coordinator may have given are over.
    world->workers.unlist(id);
    const auto forgotten = [world] {
        return world->log(0).count("worker_forgotten") == 1;
    };
    world->storeFaults(0).latency = Milliseconds(300); // A write is under way nearly all the time.
    for (int i = 0; i < 100 && !forgotten(); ++i) {
        world->submitLater(0, "b0000000000000" + std::to_string(100 + i), workflowOf({simpleStep(1)}),
                           [](const CallerAnswer &) {});
        world->runUntil(forgotten, Milliseconds(100));
    }
    REQUIRE(forgotten());
    world->workers.list(id);
    world->run(std::chrono::seconds(3));
    world->storeFaults(0).latency = Milliseconds(5);
    world->run(std::chrono::seconds(7));
}

void replaceCoordinator(WorkflowWorld *world)
{
    const int old = world->coordinator();
    REQUIRE(old >= 0);
    world->kill(old);
    REQUIRE(world->runUntil(
        [world] {
            return world->coordinator() >= 0;
        },
        std::chrono::seconds(5)));
    REQUIRE(world->coordinator() != old);
    world->run(Milliseconds(200));
}

} // namespace

// Guards against a record that outgrows a row: the store then rejects everything that the coordinator writes, no worker
// counts as recorded, and nothing starts.
TEST_CASE("tasks start on each of 1,100 workers, within the limits of the store")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(2, fleetSize, cores);
    world->submit(0, job, workflowOf({stepForAllWorkers()}));
    CHECK(reachesState(*world, 0, job, "complete", std::chrono::seconds(5)));
    CHECK(world->workers.runsOf(job).size() == fleetSize);
    CHECK(world->rows.rejected == 0);
}

// Guards against a budget that ends within the last step: the rest of its tasks then waited for the next tick.
TEST_CASE("a step of more tasks than one run of the dispatch may start is started without pauses")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, fleetSize, cores);
    world->submit(0, job, workflowOf({stepForAllWorkers()}));
    world->run(Milliseconds(200));
    CHECK(world->workers.runsOf(job).size() == fleetSize);
}

TEST_CASE("a new coordinator knows all of 1,100 workers and starts nothing twice")
{
    constexpr int nodes = 2;
    const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, fleetSize, cores);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(3000), false);
    };
    const int other = otherThan(world->coordinator(), nodes);
    world->submit(other, job, workflowOf({stepForAllWorkers()}));
    world->run(Milliseconds(1500));
    REQUIRE(world->workers.runsOf(job).size() == fleetSize);
    replaceCoordinator(world.get());
    CHECK(reachesState(*world, other, job, "complete", std::chrono::seconds(8)));
    CHECK(world->workers.runsOf(job).size() == fleetSize);
    CHECK(world->workers.tasksRunTwice().empty());
    CHECK(world->rows.rejected == 0);
}

// Guards against a record that outgrows a row with the runs on workers that are cut off.
TEST_CASE("the record of 300 silent workers with many runs each stays within the limits of the store")
{
    constexpr int silentWorkers = 300;
    constexpr std::uint32_t runsEach = 30;
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, silentWorkers, cores);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(6000), false);
    };
    for (int i = 0; i < 10; ++i) {
        StepSpec step = simpleStep(silentWorkers * runsEach / 10);
        step.perTask.memoryMb = 1;
        world->submit(0, "b00000000000000" + std::to_string(i), workflowOf({step}));
    }
    world->run(std::chrono::seconds(3));
    REQUIRE(world->workers.runs().size() == silentWorkers * runsEach);
    for (int i = 0; i < silentWorkers; ++i) {
        world->workers.find("w" + std::to_string(i))->cutFrom.insert("node-0");
    }
    world->run(Milliseconds(2500));
    CHECK(world->log(0).count("worker_silent") == silentWorkers);
    CHECK(world->rows.rejected == 0);
    std::size_t bytes = 0;
    for (const Row &row : world->rows.scan(rows::wholeWorkerRecord()).rows) {
        bytes += row.value.size();
    }
    CHECK(bytes > TableLimits{}.rowBytes); // One row would have been too long.
}

TEST_CASE("a part of the record that can't be read holds up earlier tasks, and nothing runs twice")
{
    constexpr int nodes = 2;
    constexpr int workers = 40;
    const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, workers, cores);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(9000), false);
    };
    const int other = otherThan(world->coordinator(), nodes);
    StepSpec step = simpleStep(workers);
    step.maxPerWorker = 1;
    world->submit(other, job, workflowOf({step}));
    world->run(Milliseconds(1000));
    REQUIRE(world->workers.runsOf(job).size() == workers);
    // A worker that only the unreadable part names, and that no node reaches.
    const WorkerId lost = "w7";
    putRow(world.get(), rows::workerRecordPart(recordPartOf(lost)), "not a record");
    for (int i = 0; i < nodes; ++i) {
        world->workers.find(lost)->cutFrom.insert("node-" + std::to_string(i));
    }
    world->workers.unlist(lost);
    replaceCoordinator(world.get());
    CHECK(world->log(other).count("worker_record_unreadable") == 1);
    CHECK(reachesState(*world, other, job, "complete", std::chrono::seconds(40)));
    CHECK(world->workers.tasksRunTwice().empty());
    CHECK(world->log(other).count("failed") == 0);
}

// Guards against pings whose number grows with the nodes, all to one of them.
TEST_CASE("few of 60 nodes watch the coordinator closely, and replace it within a second")
{
    constexpr int nodes = 60;
    constexpr int closely = 12;
    const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 4, cores);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(60000), false);
    };
    world->submit(0, job, workflowOf({simpleStep(8)}));
    const int old = world->coordinator();
    std::uint64_t &received = world->network.sentTo["node-" + std::to_string(old)];
    const std::uint64_t before = received;
    world->run(std::chrono::seconds(9));
    const std::uint64_t inNineSeconds = closely * 60 + (nodes - 1 - closely) * 20;
    CHECK(received - before <= inNineSeconds * 11 / 10);
    world->kill(old);
    CHECK(world->runUntil(
        [&world] {
            return world->coordinator() >= 0;
        },
        std::chrono::seconds(1)));
    // Without the store, the other nodes' pings confirm the term.
    world->run(std::chrono::seconds(1));
    REQUIRE(world->workers.runsOf(job).size() == 8);
    for (int i = 0; i < nodes; ++i) {
        world->storeFaults(i).down = true;
    }
    const int coordinator = world->coordinator();
    // Tasks that last keep their leases only while the coordinator may send orders.
    world->run(std::chrono::seconds(8));
    CHECK(world->coordinator() == coordinator);
    for (const SimWorkers::RunRecord &run : world->workers.runsOf(job)) {
        CHECK(run.ended == TimePoint{});
    }
}

TEST_CASE("the record of an earlier version is read, and replaced by its parts")
{
    constexpr int nodes = 2;
    const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 4, cores);
    const nlohmann::json old = nlohmann::json::array({{{"id", "gone"},
                                                       {"address", "10.0.0.1:1"},
                                                       {"service", "pool"},
                                                       {"dataCentre", "dc-a"},
                                                       {"rack", "r0"},
                                                       {"runs", nlohmann::json::array({{job, 0, 0, 2, 5}})}}});
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(old);
    const std::string value(bytes.begin(), bytes.end());
    const std::vector<RecordedWorker> read = decodeRecordPart(value);
    REQUIRE(read.size() == 1);
    CHECK(read.front().entry.id == "gone");
    CHECK(read.front().namesRuns);
    CHECK(read.front().runs == std::vector<std::pair<TaskKey, RunNumber>>{{TaskKey{job, 0, 0, 2}, 5}});
    putRow(world.get(), rows::wholeWorkerRecord(), value);
    replaceCoordinator(world.get());
    world->run(std::chrono::seconds(10));
    CHECK(world->rows.read({rows::wholeWorkerRecord()}).rows.empty());
    CHECK(recordRows(*world) >= 1);
}

// Guards against a worker that never counts as recorded: the row that names it stays as it is, so it is not written.
TEST_CASE("a worker that is listed again right after it was forgotten gets tasks")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, 2, cores);
    forgetAndListAgain(world.get(), "w1");
    StepSpec step = simpleStep(2);
    step.maxPerWorker = 1;
    world->submit(0, job, workflowOf({step}));
    CHECK(reachesState(*world, 0, job, "complete", std::chrono::seconds(5)));
    const std::vector<SimWorkers::RunRecord> runs = world->workers.runsOf(job);
    REQUIRE(runs.size() == 2);
    CHECK(runs[0].worker != runs[1].worker);
}

// Guards against starts that the next coordinator knows nothing of: the store has rejected the row of the worker.
TEST_CASE("a worker whose part of the record the store has rejected gets no tasks, also when it is listed again")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, 2, cores);
    world->rows.limits->rowBytes = 600;
    Resources capacity;
    capacity.milliCores = cores * 1000;
    capacity.memoryMb = 100000;
    world->workers.add("rejected", "dc-a", "alone", capacity)->entry.address = std::string(800, 'x');
    world->workers.list("rejected");
    world->run(std::chrono::seconds(1));
    REQUIRE(world->rows.rejected > 0);
    forgetAndListAgain(world.get(), "rejected");
    StepSpec step = simpleStep(1);
    step.requiredLabel = "alone";
    world->submit(0, job, workflowOf({step}));
    world->run(std::chrono::seconds(3));
    CHECK(world->workers.runsOf(job).empty());
}

TEST_CASE("runs for which a part of the record has no room are left out, the longest list first")
{
    FleetTable fleet;
    for (const char *id : {"a", "b"}) {
        WorkerEntry entry;
        entry.id = id;
        fleet.upsert(entry, TimePoint{})->contact = WorkerContact::Silent;
    }
    for (std::uint32_t i = 0; i < 20; ++i) {
        fleet.addEarlierRun(fleet.find("a"), EarlierRun(TaskKey{job, 0, 0, i}, 1), nullptr);
    }
    fleet.addEarlierRun(fleet.find("b"), EarlierRun(TaskKey{job, 0, 1, 0}, 1), nullptr);
    RecordPart part;
    part.add(fleet.find("a"));
    part.add(fleet.find("b"));
    const EncodedRecordPart shortened = encodeRecordPart(part, 100);
    CHECK(shortened.value.size() <= 100);
    CHECK(shortened.withoutRuns == std::set<WorkerId>{"a"});
    const std::vector<RecordedWorker> read = decodeRecordPart(shortened.value);
    REQUIRE(read.size() == 2);
    CHECK(!read.front().namesRuns);
    CHECK(read.back().runs.size() == 1);
    CHECK(encodeRecordPart(part, 10).value.empty());
}
