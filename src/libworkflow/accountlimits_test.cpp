// Limits and shares of accounts: single cases, and random worlds with overlapping terms, late starts and changing
// limits.
#include "accountworld_pvt.h"
#include "fescueledge/random.h"
#include "jobrow_pvt.h"
#include "readyworld_pvt.h"
#include "recordpart_pvt.h"
#include "rows_pvt.h"
#include "workflowworld_pvt.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <set>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

constexpr int nodes = 3;

void cutFromAll(WorkflowWorld &world, const WorkerId &id)
{
    for (int i = 0; i < nodes; ++i) {
        world.workers.find(id)->cutFrom.insert("node-" + std::to_string(i));
    }
}

void lastFor(WorkflowWorld &world, Milliseconds span)
{
    world.workers.workOf = [span](const TaskKey &) {
        return std::make_pair(span, false);
    };
}

/// Four tasks of `kaje` run on a worker of four cores, which is then cut off while another node takes over.
std::unique_ptr<WorkflowWorld> worldAfterTakeover(std::int64_t limitCores)
{
    std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 1);
    lastFor(*world, Milliseconds(30000));
    setLimits(*world, {{"kaje", limitCores}, {"lemu", 0}});
    world->account = "kaje";
    REQUIRE(world->submit(0, jobA, workflowOf({simpleStep(4)})) == CallerOutcome::Ok);
    world->run(Milliseconds(500));
    REQUIRE(world->workers.runsOf(jobA).size() == 4);
    world->workers.add("w1", "dc-b", "r1", Resources{4000, 100000, 0});
    world->run(Milliseconds(500));
    cutFromAll(*world, "w0");
    const int lost = world->coordinator();
    world->kill(lost);
    REQUIRE(world->runUntil(
        [&] {
            return world->coordinator() >= 0;
        },
        std::chrono::seconds(3)));
    return world;
}

/// Accounts in a random world with faults.
class RandomAccounts
{
public:
    explicit RandomAccounts(std::uint64_t seed)
        : m_random(seed)
        , m_workers(3 + static_cast<int>(m_random.below(3)))
        , world(readyWorld(nodes, m_workers))
    {
        const std::uint64_t salt = m_random.below(1000);
        world->workers.workOf = [salt](const TaskKey &key) {
            return std::make_pair(Milliseconds(200 + (salt + 700 * key.index + 311 * key.step) % 3000), false);
        };
        changeLimits();
    }

    void play()
    {
        const std::size_t rounds = 2 + m_random.below(2);
        for (std::size_t i = 0; i < rounds; ++i) {
            playRound();
        }
        for (int i = 0; i < nodes; ++i) {
            world->delayStarts(i, Duration(0));
        }
        world->run(std::chrono::seconds(60));
    }

    std::vector<std::string> notComplete()
    {
        std::vector<std::string> out;
        for (const auto &[job, account] : m_jobs) {
            world->account = account;
            const std::string state = world->state(std::max(0, world->coordinator()), job);
            if (m_accepted->count(job) > 0 && state != "complete") {
                out.push_back(job);
                out.back().append(" ").append(state);
            }
        }
        return out;
    }

    /// Starts that raised what runs for an account above its limit.
    std::vector<std::string> aboveLimit()
    {
        return startsAboveLimit(*world, m_jobs, m_limits);
    }

    std::size_t accepted() const
    {
        return m_accepted->size();
    }

private:
    Milliseconds drawn(std::size_t limitMs)
    {
        return Milliseconds(m_random.below(limitMs + 1));
    }

    void playRound()
    {
        submitAll();
        world->run(Milliseconds(100) + drawn(400));
        const Milliseconds delay = Milliseconds(5) + drawn(475);
        for (int i = 0; i < nodes; ++i) {
            world->delayStarts(i, m_random.chance(0.5) ? Duration(delay) : Duration(0), m_random.chance(0.7));
        }
        submitAll();
        if (m_random.chance(0.6)) {
            cut("w" + std::to_string(m_random.below(static_cast<std::size_t>(m_workers))), drawn(7000));
        }
        world->run(drawn(300));
        replaceCoordinator();
        for (int i = 0; i < 6; ++i) { // Jobs of the new term are started while workers have not answered in it.
            world->run(drawn(700));
            submitAll();
            if (m_random.chance(0.3)) {
                changeLimits();
            }
        }
        world->run(Milliseconds(1000) + drawn(3000));
    }

    void submitAll()
    {
        for (const char *account : {"kaje", "lemu", ""}) {
            const int node = m_away < 0 ? static_cast<int>(m_random.below(nodes)) : otherThan(m_away, nodes);
            std::vector<StepSpec> steps{simpleStep(static_cast<std::uint32_t>(1 + m_random.below(4)))};
            steps[0].gang = m_random.chance(0.2);
            steps[0].count = steps[0].gang ? std::min(steps[0].count, 3U) : steps[0].count;
            if (m_random.chance(0.2)) {
                steps.push_back(simpleStep(2));
                steps[1].dependsOn = {0};
            }
            const JobId job = "000000000000" + std::to_string(1000 + m_jobs.size());
            m_jobs[job] = account;
            world->account = account;
            world->submitLater(node, job, workflowOf(steps), [accepted = m_accepted, job](const CallerAnswer &answer) {
                if (answer.outcome == CallerOutcome::Ok) {
                    accepted->insert(job);
                }
            });
        }
    }

    void changeLimits()
    {
        const AccountLimits limits{{"kaje", 3 + static_cast<std::int64_t>(m_random.below(4))},
                                   {"lemu", 3 + static_cast<std::int64_t>(m_random.below(8))}};
        m_limits.emplace_back(world->world.now(), limits);
        setLimits(*world, limits);
    }

    /// Pauses the coordinator or cuts it off from the store, so that two terms overlap.
    void replaceCoordinator()
    {
        const int lost = world->coordinator();
        if (lost < 0 || m_away >= 0) {
            return;
        }
        m_away = lost;
        const bool isPaused = m_random.chance(0.5);
        if (isPaused) {
            world->pause(lost);
        } else {
            world->storeFaults(lost).down = true;
        }
        world->world.after(Milliseconds(800) + drawn(3500), [this, lost, isPaused] {
            if (isPaused) {
                world->resume(lost);
            } else {
                world->storeFaults(lost).down = false;
            }
            m_away = -1;
        });
    }

    void cut(const WorkerId &id, Duration span)
    {
        cutFromAll(*world, id);
        world->world.after(span, [this, id] {
            world->workers.find(id)->cutFrom.clear();
        });
    }

    Random m_random;
    int m_workers;
    int m_away = -1; ///< Coordinator that is paused or cut off.
    std::map<JobId, std::string> m_jobs; ///< Account by job.
    std::shared_ptr<std::set<JobId>> m_accepted = std::make_shared<std::set<JobId>>();
    LimitHistory m_limits;

public:
    std::unique_ptr<WorkflowWorld> world;
};

} // namespace

// Guards against starts that don't count what a former coordinator has started, what has no answer yet, or what runs
// on silent workers: limits were passed on each of seven days.
TEST_CASE("300 random worlds: no start raises what runs for an account above its limit")
{
    std::size_t accepted = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        INFO("seed " << seed);
        RandomAccounts accounts(seed);
        accounts.play();
        accepted += accounts.accepted();
        const std::vector<std::string> aboveLimit = accounts.aboveLimit();
        const std::vector<std::string> notComplete = accounts.notComplete();
        const std::vector<std::string> repeated = tasksRepeated(*accounts.world);
        CAPTURE(aboveLimit, notComplete, repeated);
        CHECK(aboveLimit.empty());
        CHECK(notComplete.empty());
        CHECK(repeated.empty());
    }
    CHECK(accepted > 10000);
}

// Guards against a new coordinator that starts work of an account beside what a silent worker still runs for it.
TEST_CASE("after a takeover a worker that has not answered counts as full for accounts with a limit")
{
    const std::unique_ptr<WorkflowWorld> world = worldAfterTakeover(4);
    world->account = "kaje";
    CHECK(world->submit(world->coordinator(), jobB, workflowOf({simpleStep(2)})) == CallerOutcome::Ok);
    world->run(Milliseconds(1000));
    CHECK(world->workers.runsOf(jobB).empty());
    world->account = "lemu";
    const JobId unlimited = "00000000000000cc";
    CHECK(world->submit(world->coordinator(), unlimited, workflowOf({simpleStep(2)})) == CallerOutcome::Ok);
    world->run(Milliseconds(300));
    CHECK(world->workers.runsOf(unlimited).size() == 2);
    world->run(std::chrono::seconds(6)); // The lease of the silent worker has expired.
    const std::vector<SimWorkers::RunRecord> later = world->workers.runsOf(jobB);
    CHECK(later.size() == 2);
    world->workers.settleAll();
    for (const SimWorkers::RunRecord &before : world->workers.runsOf(jobA)) {
        for (const SimWorkers::RunRecord &run : later) {
            if (before.worker == "w0") {
                CHECK(before.ended != TimePoint{});
                CHECK(before.ended <= run.began);
            }
        }
    }
}

// Guards against starts beside the runs of a worker that a new coordinator doesn't know at all.
TEST_CASE("while workers may be unknown after a takeover, nothing of an account with a limit starts")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 1);
    lastFor(*world, Milliseconds(30000));
    setLimits(*world, {{"kaje", 4}, {"lemu", 0}});
    world->account = "kaje";
    REQUIRE(world->submit(0, jobA, workflowOf({simpleStep(4)})) == CallerOutcome::Ok);
    world->run(Milliseconds(500));
    world->workers.add("w1", "dc-b", "r1", Resources{4000, 100000, 0});
    world->run(Milliseconds(500));
    cutFromAll(*world, "w0");
    world->workers.unlist("w0");
    world->kill(world->coordinator());
    Transaction transaction;
    transaction.puts.push_back({rows::workerRecordPart(recordPartOf("w0")), "{"}); // Unreadable.
    REQUIRE(world->rows.commit(transaction).status == CommitStatus::Committed);
    REQUIRE(world->runUntil(
        [&] {
            return world->coordinator() >= 0;
        },
        std::chrono::seconds(3)));
    CHECK(world->submit(world->coordinator(), jobB, workflowOf({simpleStep(2)})) == CallerOutcome::Ok);
    world->account = "lemu";
    const JobId unlimited = "00000000000000cc";
    CHECK(world->submit(world->coordinator(), unlimited, workflowOf({simpleStep(2)})) == CallerOutcome::Ok);
    world->run(Milliseconds(1000));
    CHECK(world->workers.runsOf(jobB).empty());
    CHECK(world->workers.runsOf(unlimited).size() == 2);
    world->run(std::chrono::seconds(10));
    CHECK(
        startsAboveLimit(*world, {{jobA, "kaje"}, {jobB, "kaje"}, {unlimited, "lemu"}}, {{TimePoint{}, {{"kaje", 4}}}})
            .empty());
    CHECK(world->workers.runsOf(jobB).size() == 2);
}

// Guards against one silent worker that holds up accounts whose limit leaves room beside it.
TEST_CASE("after a takeover an account whose limit has room beside the silent workers gets starts at once")
{
    const std::unique_ptr<WorkflowWorld> world = worldAfterTakeover(6);
    world->account = "kaje";
    CHECK(world->submit(world->coordinator(), jobB, workflowOf({simpleStep(4)})) == CallerOutcome::Ok);
    world->run(Milliseconds(1000));
    CHECK(world->workers.runsOf(jobB).size() == 2);
}

// Guards against a gang of which the first tasks fit into the limit and the others pass it.
TEST_CASE("a gang starts only if all of it fits into the limit")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 4);
    lastFor(*world, Milliseconds(2000));
    setLimits(*world, {{"kaje", 4}});
    world->account = "kaje";
    world->submit(0, jobA, workflowOf({simpleStep(2)}));
    world->run(Milliseconds(300));
    StepSpec gang = simpleStep(3);
    gang.gang = true;
    world->submit(0, jobB, workflowOf({gang}));
    world->run(Milliseconds(1000));
    CHECK(world->workers.runsOf(jobA).size() == 2);
    CHECK(world->workers.runsOf(jobB).empty());
    world->run(Milliseconds(1500));
    CHECK(world->workers.runsOf(jobB).size() == 3);
}

// Guards against a gang that passes the limit by more than the one task for which the platform's rule leaves room.
TEST_CASE("a gang that is larger than the limit by more than a task waits until the limit is raised")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 4);
    lastFor(*world, Milliseconds(1000));
    setLimits(*world, {{"kaje", 4}});
    world->account = "kaje";
    StepSpec gang = simpleStep(6);
    gang.gang = true;
    world->submit(0, jobA, workflowOf({gang}));
    world->run(std::chrono::seconds(5));
    CHECK(world->workers.runsOf(jobA).empty());
    gang.count = 5;
    world->submit(0, jobB, workflowOf({gang}));
    world->run(Milliseconds(500));
    CHECK(world->workers.runsOf(jobB).size() == 5);
    world->run(std::chrono::seconds(2));
    setLimits(*world, {{"kaje", 6}});
    world->run(Milliseconds(500));
    CHECK(world->workers.runsOf(jobA).size() == 6);
}

// Guards against a task that waits for good because it is larger than the limit, and against two at a time.
TEST_CASE("tasks that are larger than the limit run one at a time")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 4);
    lastFor(*world, Milliseconds(500));
    setLimits(*world, {{"kaje", 2}});
    world->account = "kaje";
    StepSpec large = simpleStep(3);
    large.perTask.milliCores = 3000;
    world->submit(0, jobA, workflowOf({large}));
    CHECK(reachesState(*world, 0, jobA, "complete", std::chrono::seconds(10)));
    const std::vector<SimWorkers::RunRecord> runs = world->workers.runsOf(jobA);
    REQUIRE(runs.size() == 3);
    CHECK(runs[1].began >= runs[0].ended);
    CHECK(runs[2].began >= runs[1].ended);
}

// Guards against a lowered limit that stops work, and against starts beyond it.
TEST_CASE("a lowered limit stops nothing, and nothing starts until what runs is below it")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 4);
    lastFor(*world, Milliseconds(2000));
    setLimits(*world, {{"kaje", 8}});
    world->account = "kaje";
    world->submit(0, jobA, workflowOf({simpleStep(6)}));
    world->run(Milliseconds(300));
    setLimits(*world, {{"kaje", 3}});
    world->submit(0, jobB, workflowOf({simpleStep(6)}));
    world->run(Milliseconds(1000));
    CHECK(world->workers.runsOf(jobB).empty());
    world->run(Milliseconds(1500));
    CHECK(world->workers.runsOf(jobB).size() == 3);
    world->workers.settleAll();
    for (const SimWorkers::RunRecord &run : world->workers.runsOf(jobA)) {
        CHECK(run.how == RunEnd::Done);
    }
}

// Load: one of twenty accounts submits many times its rate for six seconds, more than the workers can do.
// Guards against the others waiting behind that burst.
TEST_CASE("a flood of one account among twenty delays its own jobs only")
{
    constexpr int accounts = 20;
    constexpr Milliseconds roundTime{250};
    const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 10);
    lastFor(*world, Milliseconds(500)); // 80 tasks a second in all.
    Catalog catalog = world->catalog;
    ++catalog.version;
    catalog.asksForKeys = true;
    for (int i = 0; i < accounts; ++i) {
        account::AccountPolicy policy;
        policy.name = "account-" + std::to_string(i);
        policy.weight = 2;
        catalog.accounts.emplace(policy.name, policy);
    }
    world->setCatalog(catalog);
    std::map<JobId, std::pair<std::string, TimePoint>> submitted;
    const auto submit = [&](int index) {
        world->account = "account-" + std::to_string(index);
        const JobId job = "000000000000" + std::to_string(1000 + submitted.size());
        submitted[job] = {world->account, world->world.now()};
        world->submitLater(0, job, workflowOf({simpleStep(1)}), [](const CallerAnswer &) {});
    };
    for (int round = 0; round < 24; ++round) {
        for (int i = 0; i < 40; ++i) {
            submit(0); // 160 a second at a rate of 2.
        }
        for (int i = round % 2; i < accounts; i += 2) {
            submit(i); // 2 a second.
        }
        world->run(roundTime);
    }
    world->run(std::chrono::seconds(30));
    std::map<std::string, Duration> longest;
    for (const auto &[job, by] : submitted) {
        const std::vector<SimWorkers::RunRecord> runs = world->workers.runsOf(job);
        REQUIRE(runs.size() == 1);
        longest[by.first] = std::max(longest[by.first], Duration(runs[0].began - by.second));
    }
    for (int i = 1; i < accounts; ++i) {
        const std::string name = "account-" + std::to_string(i);
        INFO(name << " " << std::chrono::duration_cast<Milliseconds>(longest[name]).count() << " ms");
        CHECK(longest[name] <= Milliseconds(600)); // A task may have to end first.
    }
    // It queues behind its own work, for as long as that takes.
    CHECK(longest["account-0"] >= std::chrono::seconds(5));
}

// Guards against a node whose clock is ahead: a job that it accepted kept the rate of the account from refilling until
// that time, and all further jobs of the account counted as excess.
TEST_CASE("a job accepted in the future, by another node's clock, leaves the rate of its account as it is")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 2);
    lastFor(*world, Milliseconds(60000));
    Catalog catalog = world->catalog;
    ++catalog.version;
    catalog.asksForKeys = true;
    account::AccountPolicy policy;
    policy.name = "kaje";
    policy.weight = 2;
    policy.limit.milliCores = 1000; // Jobs wait, so the report names them.
    catalog.accounts.emplace(policy.name, policy);
    world->setCatalog(catalog);
    world->run(Milliseconds(100));
    JobRow ahead;
    ahead.spec = workflowOf({simpleStep(1)});
    ahead.policy = *catalog.queue("batch");
    ahead.account = "kaje";
    ahead.acceptedAt = WallTime(std::chrono::duration_cast<Milliseconds>(world->world.now().time_since_epoch()))
        + std::chrono::hours(1);
    Transaction transaction;
    transaction.puts.push_back({rows::job(jobA), encodeJobRow(ahead)});
    REQUIRE(world->rows.commit(transaction).status == CommitStatus::Committed);
    world->account = "kaje";
    for (int i = 0; i < 12; ++i) {
        world->submit(0, "000000000000" + std::to_string(1000 + i), workflowOf({simpleStep(1)}));
        world->run(Milliseconds(600));
    }
    world->run(std::chrono::seconds(6));
    const std::vector<std::string> lines = world->linesOf("account_usage");
    REQUIRE_FALSE(lines.empty());
    for (const std::string &line : lines) {
        CHECK(line.find("waiting_excess_tasks=0") != std::string::npos);
    }
}
