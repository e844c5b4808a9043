#include "fescueledge/jobqueue.h"

#include "fakerackowner_pvt.h"
#include "queueworld_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace std::chrono_literals;

namespace {

const Resources workerSize{32000, 125000, 0};
const std::vector<std::string> noViolations;

JobQueue::SubmitResult submitAndWait(QueueWorld &fleet, int node, const JobSpec &spec)
{
    std::optional<JobQueue::SubmitResult> result;
    fleet.node(node).queue.submit(spec, [&result](const JobQueue::SubmitResult &it) {
        result = it;
    });
    fleet.world.runUntil(
        [&result] {
            return result.has_value();
        },
        30s);
    REQUIRE(result.has_value());
    return *result;
}

bool runUntilEnded(QueueWorld &fleet, Duration limit)
{
    return fleet.world.runUntil(
        [&fleet] {
            return fleet.allEnded();
        },
        limit);
}

} // namespace

TEST_CASE("jobs submitted on any node run to their end")
{
    QueueWorld fleet(1, 3, 2, 4, workerSize);
    for (int i = 0; i < 20; ++i) {
        fleet.submit(i % 3, fleet.spec("t", "k" + std::to_string(i), 100, 1000));
    }
    fleet.world.runFor(1s);
    REQUIRE(fleet.accepted().size() == 20);
    CHECK(runUntilEnded(fleet, 60s));
    CHECK(fleet.workers.violations == noViolations);
    CHECK(fleet.workers.starts == 2000);
    CHECK(fleet.counters().finishes == 2000);
}

TEST_CASE("submissions with one key create one job, on any node and with lost answers")
{
    QueueWorld fleet(2, 3, 1, 1, workerSize);
    FakeTableService::Faults faults;
    faults.loseAnswer = 0.5;
    fleet.setFaults(faults);
    const JobSpec spec = fleet.spec("t", "k", 1, 1000);
    const JobQueue::SubmitResult first = submitAndWait(fleet, 0, spec);
    REQUIRE(!first.error);
    const JobQueue::SubmitResult second = submitAndWait(fleet, 1, spec);
    REQUIRE(!second.error);
    CHECK(second.job == first.job);
    CHECK(second.existed);
    const JobQueue::SubmitResult other = submitAndWait(fleet, 2, fleet.spec("t", "k", 2, 1000));
    REQUIRE(other.error);
    CHECK(other.error->kind() == ErrorKind::KeyReused);
}

TEST_CASE("nothing is accepted while the store is down, and the caller is told that it did not run")
{
    QueueWorld fleet(3, 2, 1, 1, workerSize);
    FakeTableService::Faults faults;
    faults.down = true;
    fleet.setFaults(faults);
    const JobQueue::SubmitResult result = submitAndWait(fleet, 0, fleet.spec("t", "k", 1, 1000));
    REQUIRE(result.error);
    CHECK(result.error->kind() == ErrorKind::StoreUnavailable);
    CHECK(result.error->outcome() == RunOutcome::NotRun);
}

TEST_CASE("a cancelled job ends: waiting tasks never run, running ones are stopped")
{
    QueueWorld fleet(4, 3, 1, 1, workerSize);
    fleet.workers.taskDuration = 1h;
    const JobQueue::SubmitResult job = submitAndWait(fleet, 0, fleet.spec("t", "k", 1000, 1000));
    fleet.world.runFor(2s);
    REQUIRE(fleet.workers.starts == 32);
    std::optional<JobQueue::CancelResult> result;
    fleet.node(1).queue.cancel(job.job, "alice", [&result](const JobQueue::CancelResult &it) {
        result = it;
    });
    fleet.world.runFor(5s);
    REQUIRE(result.has_value());
    CHECK(!result->error);
    CHECK(!result->alreadyEnded);
    CHECK(result->status.cancelledBy == "alice");
    REQUIRE(fleet.allEnded());
    CHECK(fleet.workers.starts == 32);
    CHECK(fleet.endedStatus(job.job).count(TaskState::Cancelled) == 1000);
    CHECK(fleet.endedStatus(job.job).stateName() == "cancelled");
}

TEST_CASE("a job is cancelled durably while its partition has no owner")
{
    QueueWorld fleet(5, 2, 1, 1, workerSize);
    fleet.workers.taskDuration = 1h;
    const JobQueue::SubmitResult job = submitAndWait(fleet, 0, fleet.spec("t", "k", 3, 1000));
    const ShardId shard = queueShard(partitionOfJob(job.job));
    fleet.world.runFor(1s);
    fleet.assignments.revoke(shard);
    fleet.world.runFor(1s);
    std::optional<JobQueue::CancelResult> result;
    fleet.node(0).queue.cancel(job.job, "alice", [&result](const JobQueue::CancelResult &it) {
        result = it;
    });
    fleet.world.runFor(3s);
    REQUIRE(result.has_value());
    CHECK(!result->error);
    fleet.move(shard, 1, 0s);
    fleet.world.runFor(5s);
    REQUIRE(!fleet.rows.read({"done/" + shard.substr(6) + "/" + job.job}).rows.empty());
    CHECK(fleet.endedStatus(job.job).count(TaskState::Cancelled) == 3);
}

TEST_CASE("a job too large for every worker ends as never runnable")
{
    QueueWorld fleet(6, 2, 1, 1, workerSize);
    const JobQueue::SubmitResult job = submitAndWait(fleet, 0, fleet.spec("t", "k", 3, 40000));
    fleet.world.runFor(30s);
    REQUIRE(!fleet.rows.scan("done/").rows.empty());
    CHECK(fleet.endedStatus(job.job).stateName() == "never-runnable");
    CHECK(fleet.workers.starts == 0);
    CHECK(fleet.counters().openJobs == 0);
}

TEST_CASE("a task that always fails stops at its attempt limit and keeps its history")
{
    QueueWorld fleet(7, 2, 1, 4, workerSize);
    fleet.workers.failChance = 1;
    const JobQueue::SubmitResult job = submitAndWait(fleet, 0, fleet.spec("t", "k", 1, 1000));
    fleet.world.runFor(30s);
    CHECK(fleet.workers.starts == 3);
    std::optional<JobQueue::ExplainResult> result;
    fleet.node(1).queue.explain(job.job + "/0", [&result](const JobQueue::ExplainResult &it) {
        result = it;
    });
    fleet.world.runFor(3s);
    REQUIRE(result.has_value());
    REQUIRE(!result->error);
    CHECK(result->explanation.state == TaskState::Failed);
    CHECK(result->explanation.history.size() == 3);
    CHECK(result->explanation.history[0].worker != result->explanation.history[1].worker);
}

TEST_CASE("a job that kills its workers stops at its loss limit")
{
    QueueWorld fleet(8, 2, 1, 4, workerSize);
    fleet.workers.taskDuration = 1h;
    JobSpec spec = fleet.spec("t", "k", 1, 1000);
    spec.maxLosses = 3;
    const JobQueue::SubmitResult job = submitAndWait(fleet, 0, spec);
    const bool ended = fleet.world.runUntil(
        [&fleet] {
            for (auto &[id, worker] : fleet.workers.workers) {
                if (!worker.runs.empty()) {
                    fleet.workers.lose(id);
                    fleet.workers.restore(id);
                }
            }
            return !fleet.rows.scan("done/").rows.empty();
        },
        5min);
    REQUIRE(ended);
    CHECK(fleet.workers.starts == 3);
    CHECK(fleet.endedStatus(job.job).stateName() == "failed");
}

TEST_CASE("list and show are answered by the owners, or from the store if a partition has none")
{
    QueueWorld fleet(9, 2, 1, 1, workerSize);
    fleet.workers.taskDuration = 1h;
    for (int i = 0; i < 10; ++i) {
        fleet.submit(0, fleet.spec(i < 4 ? "a" : "b", "k" + std::to_string(i), 2, 1000));
    }
    fleet.world.runFor(2s);
    JobFilter filter;
    filter.team = "a";
    for (const bool owned : {true, false}) {
        if (!owned) {
            for (const ShardId &shard : fleet.shards()) {
                fleet.assignments.revoke(shard);
            }
            fleet.world.runFor(1s);
        }
        std::optional<JobQueue::ListResult> result;
        fleet.node(0).queue.list(filter, [&result](const JobQueue::ListResult &it) {
            result = it;
        });
        fleet.world.runFor(30s);
        REQUIRE(result.has_value());
        CHECK(!result->error);
        REQUIRE(result->jobs.size() == 4);
        CHECK(result->jobs[0].count(TaskState::Claimed) == 2);
    }
}

TEST_CASE("a team's limit holds over several partition owners within the stated bound")
{
    QueueWorld fleet(10, 3, 2, 4, workerSize);
    fleet.workers.taskDuration = 3s;
    auto control = std::make_shared<ControlState>();
    control->teams.push_back(TeamQuota{"t", Resources{20000, 0, 0}, 1.0});
    fleet.currentControl = control;
    for (int i = 0; i < 30; ++i) {
        fleet.submit(i % 3, fleet.spec("t", "k" + std::to_string(i), 10, 1000));
    }
    std::int64_t most = 0;
    fleet.world.runUntil(
        [&fleet, &most] {
            Resources used;
            for (const auto &[id, worker] : fleet.workers.workers) {
                used += fleet.workers.used(worker);
            }
            most = std::max(most, used.milliCores);
            return false;
        },
        30s);
    // Twice two other owners times the larger of one task and a sixth of the limit.
    CHECK(most <= 20000 + 2 * 2 * (20000 / 6));
    INFO("most " << most);
    CHECK(most >= 18000);
    CHECK(fleet.workers.starts > 100);
}

TEST_CASE("a team with a long queue does not delay teams with little work")
{
    const auto lastStart = [](QueuePolicy::Order order) {
        QueuePolicy policy;
        policy.order = order;
        QueueWorld fleet(11, 1, 1, 2, workerSize, policy);
        fleet.submit(0, fleet.spec("large", "large", 2000, 1000));
        fleet.world.runFor(1s);
        for (int i = 0; i < 20; ++i) {
            fleet.submit(0, fleet.spec("small" + std::to_string(i), "s" + std::to_string(i), 1, 1000));
        }
        const TimePoint submitted = fleet.world.now();
        fleet.world.runFor(60s);
        TimePoint last = submitted;
        for (const auto &[key, job] : fleet.accepted()) {
            const auto it = fleet.workers.firstStart.find(job + "/0");
            if (key != "large") {
                last = std::max(last, it == fleet.workers.firstStart.end() ? submitted + 60s : it->second);
            }
        }
        return last - submitted;
    };
    CHECK(lastStart(QueuePolicy::Order::Fair) < 4s);
    CHECK(lastStart(QueuePolicy::Order::Fifo) > 15s);
}
