// Random faults in virtual time while start orders are under way: restarts of workers, lost answers, replaced
// coordinators.
#include "fescueledge/random.h"
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

constexpr int nodes = 3;
constexpr std::chrono::seconds calmTime{60};
/// A call ends after this; a start without an answer is stopped then.
constexpr std::size_t callTimeoutMs = 500;

/// What may happen in a random world. Times are drawn up to these limits.
struct Faults
{
    std::size_t minDelayMs = 5; ///< Of the starts that are under way.
    std::size_t maxDelayMs = 480;
    std::size_t delayedForMs = 100; ///< Starts are delayed for this long after each submission.
    std::size_t maxDownMs = 200;
    int maxRestarts = 1; ///< Of a worker, for each submission.
    std::size_t restartsWithinMs = 100; ///< Of a submission, for the first restart of each worker.
    bool bindsStarts = false; ///< Starts reach only the incarnation that they are for.
    bool holdsUpAnswers = false; ///< Those of starts, instead of the starts.
    bool dropsObservations = false;
    bool replacesCoordinators = false;
    bool cutsWorkers = false;
    bool stopsStore = false;
    bool cancelsJobs = false;
    bool unlistsWorkers = false; ///< Some while they are down.
    bool listsFewEnds = false; ///< Workers list few ends at a time, and the first calls after a restart are lost.
};

class RandomStarts
{
public:
    RandomStarts(std::uint64_t seed, const Faults &faults)
        : m_random(seed)
        , m_faults(faults)
        , m_workers(3 + static_cast<int>(m_random.below(7)))
        , world(readyWorld(nodes, m_workers, 4 + static_cast<std::int64_t>(m_random.below(5))))
    {
        world->workers.bindsDelayedStarts = faults.bindsStarts;
        world->workers.connectionsOutliveCrashes = faults.listsFewEnds && m_random.chance(0.5);
        if (faults.listsFewEnds && m_random.chance(0.5)) {
            world->workers.maxListedEnds = 4;
        }
        const std::uint64_t salt = m_random.below(1000);
        world->workers.workOf = [this, salt](const TaskKey &key) {
            if (m_longRunning.count(key.job) > 0 && key.step == 0) {
                return std::make_pair(Milliseconds(std::chrono::hours(10)), false);
            }
            return std::make_pair(Milliseconds(50 + (salt + 700 * key.index + 311 * key.step) % 3000), false);
        };
    }

    void play()
    {
        const std::size_t rounds = 1 + m_random.below(3);
        for (std::size_t i = 0; i < rounds; ++i) {
            playRound();
        }
        for (int i = 0; i < nodes; ++i) {
            setDelay(i, Duration(0), false);
            world->dropObservations(i, 0);
        }
        world->run(calmTime);
    }

    /// Tasks of which two runs overlapped, or that were started after a run that was done and acknowledged. A lease
    /// that lapsed between the end and the acknowledgement excuses it.
    std::vector<std::string> runTwice()
    {
        world->workers.settleAll();
        std::map<std::string, std::vector<SimWorkers::RunRecord>> byTask;
        for (const SimWorkers::RunRecord &run : world->workers.runs()) {
            byTask[toString(run.task)].push_back(run);
        }
        std::vector<std::string> out;
        for (const auto &[task, runs] : byTask) {
            for (std::size_t i = 1; i < runs.size(); ++i) {
                const SimWorkers::RunRecord &before = runs[i - 1];
                const bool overlap = before.ended == TimePoint{} || before.ended > runs[i].began;
                const bool wasDone =
                    before.how == RunEnd::Done && before.acknowledged && !before.lapsedBeforeAcknowledged;
                if (overlap || wasDone) {
                    out.push_back(task);
                }
            }
        }
        return out;
    }

    /// Accepted jobs that have not come to their end, with their states. A long-running job has to be at work. A job
    /// may be given up if workers have crashed under two runs of a task.
    std::vector<std::string> notEnded()
    {
        std::vector<std::string> out;
        for (const JobId &job : *m_accepted) {
            const std::string state = world->state(std::max(0, world->coordinator()), job);
            const bool isCancelled = m_cancelled.count(job) > 0 && state == "cancelled" && !isAnyAtWork(job);
            const bool isAtWork = m_longRunning.count(job) > 0 && state == "in_progress" && allAtWork(job);
            if (state != "complete" && !isCancelled && !isAtWork && (state != "failed" || !hasCrashedTwice(job))) {
                out.push_back(job);
                out.back().append(" ").append(state);
            }
        }
        return out;
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

    void setDelay(int node, Duration delay, bool areAnswered)
    {
        if (m_faults.holdsUpAnswers) {
            world->delayStartAnswers(node, std::min<Duration>(delay, Milliseconds(callTimeoutMs - 20)));
        } else {
            world->delayStarts(node, delay, areAnswered);
        }
    }

    /// Workers are busy, a job's starts are under way, and then faults come.
    void playRound()
    {
        submit(1 + m_random.below(2 * static_cast<std::size_t>(m_workers)));
        world->run(Milliseconds(200 + m_random.below(300)));
        const Milliseconds delay = Milliseconds(m_faults.minDelayMs) + drawn(m_faults.maxDelayMs - m_faults.minDelayMs);
        const bool areAnswered = m_random.chance(0.7);
        for (int i = 0; i < nodes; ++i) {
            setDelay(i, delay, areAnswered);
            world->world.after(Milliseconds(m_faults.delayedForMs), [this, i] {
                setDelay(i, Duration(0), false);
            });
            if (m_faults.dropsObservations && m_random.chance(0.5)) {
                world->dropObservations(i, 2 + static_cast<int>(m_random.below(4)));
            }
        }
        submit(1 + m_random.below(static_cast<std::size_t>(m_workers)));
        const std::size_t restarting = 1 + m_random.below(static_cast<std::size_t>(m_workers));
        for (std::size_t i = 0; i < restarting; ++i) {
            restartLater("w" + std::to_string(i));
        }
        otherFaults();
        // All orders have arrived and all workers are back before the next round, unless they restart several times.
        world->run(Milliseconds(m_faults.delayedForMs + m_faults.maxDelayMs + m_faults.maxDownMs + callTimeoutMs)
                   + drawn(1000));
    }

    void restartLater(const WorkerId &id)
    {
        const int times = 1 + static_cast<int>(m_random.below(static_cast<std::size_t>(m_faults.maxRestarts)));
        Duration when = drawn(m_faults.restartsWithinMs);
        for (int i = 0; i < times; ++i) {
            const Duration down =
                drawn(m_random.chance(0.5) ? std::min<std::size_t>(m_faults.maxDownMs, 50) : m_faults.maxDownMs);
            restart(id, when, down, m_random.chance(0.6));
            when += down + Milliseconds(1) + drawn(m_random.chance(0.5) ? callTimeoutMs : 2500);
        }
    }

    void restart(const WorkerId &id, Duration when, Duration down, bool isAnnounced)
    {
        const bool isUnlisted = m_faults.unlistsWorkers && m_random.chance(0.3);
        world->world.after(when, [this, id, down, isAnnounced, isUnlisted] {
            if (!world->workers.find(id)->up) {
                return;
            }
            world->workers.crash(id);
            m_crashed.insert(id);
            if (isUnlisted) {
                world->workers.unlist(id);
            }
            world->world.after(down, [this, id, isAnnounced] {
                world->workers.restart(id, isAnnounced);
            });
            if (isUnlisted || !isAnnounced) { // The list is behind for a while.
                world->world.after(down + Milliseconds(1500), [this, id] {
                    world->workers.list(id);
                });
            }
        });
    }

    void otherFaults()
    {
        if (m_faults.replacesCoordinators) {
            world->world.after(drawn(600), [this] {
                replaceCoordinator();
            });
            if (m_random.chance(0.4)) {
                world->world.after(Milliseconds(1000) + drawn(3000), [this] {
                    replaceCoordinator();
                });
            }
        }
        if (m_faults.cutsWorkers && m_random.chance(0.7)) {
            world->world.after(drawn(1500), [this] {
                cut("w" + std::to_string(m_random.below(static_cast<std::size_t>(m_workers))), drawn(6000));
            });
        }
        if (m_faults.stopsStore && m_random.chance(0.5)) {
            world->world.after(drawn(1000), [this] {
                stopStore(drawn(4000));
            });
        }
        if (m_faults.cancelsJobs && m_random.chance(0.6) && !m_accepted->empty()) {
            const JobId job = (*m_accepted)[m_random.below(m_accepted->size())];
            m_cancelled.insert(job);
            world->world.after(drawn(800), [this, job] {
                const int node = upNode();
                if (node >= 0) {
                    world->cancelLater(node, job);
                }
            });
        }
    }

    void replaceCoordinator()
    {
        const int lost = world->coordinator();
        if (lost < 0 || m_away.count(lost) > 0 || m_away.size() > 1) {
            return;
        }
        m_away.insert(lost);
        const bool isKilled = m_random.chance(0.4);
        if (isKilled) {
            world->kill(lost);
        } else {
            world->pause(lost);
        }
        world->world.after(Milliseconds(200) + drawn(4000), [this, lost, isKilled] {
            if (isKilled) {
                world->startNode(lost);
            } else {
                world->resume(lost);
            }
            m_away.erase(lost);
        });
    }

    void cut(const WorkerId &id, Duration span)
    {
        for (int i = 0; i < nodes; ++i) {
            world->workers.find(id)->cutFrom.insert("node-" + std::to_string(i));
        }
        world->world.after(span, [this, id] {
            world->workers.find(id)->cutFrom.clear();
        });
    }

    void stopStore(Duration span)
    {
        for (int i = 0; i < nodes; ++i) {
            world->storeFaults(i).down = true;
            world->world.after(span, [this, i] {
                world->storeFaults(i).down = false;
            });
        }
    }

    int upNode()
    {
        const int first = static_cast<int>(m_random.below(nodes));
        for (int i = 0; i < nodes; ++i) {
            if (m_away.count((first + i) % nodes) == 0) {
                return (first + i) % nodes;
            }
        }
        return -1;
    }

    void submit(std::size_t tasks)
    {
        const JobId job = "000000000000" + std::to_string(1000 + m_submitted++);
        std::vector<StepSpec> steps{simpleStep(static_cast<std::uint32_t>(tasks))};
        switch (m_random.below(5)) {
        case 0:
            steps[0].gang = true;
            steps[0].count = static_cast<std::uint32_t>(std::min<std::size_t>(tasks, 6));
            break;
        case 1:
            steps[0].longRunning = true;
            steps[0].count = static_cast<std::uint32_t>(std::min<std::size_t>(tasks, 3));
            m_longRunning.insert(job);
            break;
        case 2:
            steps.push_back(simpleStep(static_cast<std::uint32_t>(1 + m_random.below(4))));
            steps[1].dependsOn = {0};
            break;
        case 3:
            steps.push_back(simpleStep(2));
            steps[1].gang = true;
            break;
        default:
            break;
        }
        const int node = upNode();
        if (node < 0) {
            return;
        }
        world->submitLater(node, job, workflowOf(steps), [accepted = m_accepted, job](const CallerAnswer &answer) {
            if (answer.outcome == CallerOutcome::Ok) {
                accepted->push_back(job);
            }
        });
    }

    bool allAtWork(const JobId &job) const
    {
        std::map<std::string, bool> atWork;
        for (const SimWorkers::RunRecord &run : world->workers.runsOf(job)) {
            atWork[toString(run.task)] |= run.ended == TimePoint{};
        }
        return !atWork.empty() && std::all_of(atWork.begin(), atWork.end(), [](const auto &entry) {
            return entry.second;
        });
    }

    bool isAnyAtWork(const JobId &job) const
    {
        const std::vector<SimWorkers::RunRecord> runs = world->workers.runsOf(job);
        return std::any_of(runs.begin(), runs.end(), [](const SimWorkers::RunRecord &run) {
            return run.ended == TimePoint{};
        });
    }

    /// Whether workers have crashed under two runs of a task. A run whose end was not acknowledged before the crash
    /// counts, and so does a start that was not answered (see CrashLedger).
    bool hasCrashedTwice(const JobId &job)
    {
        std::map<std::string, std::set<RunNumber>> crashed;
        for (const SimWorkers::RunRecord &run : world->workers.runsOf(job)) {
            if (run.how == RunEnd::LeaseExpired || (run.ended != TimePoint{} && !run.acknowledged)) {
                crashed[toString(run.task)].insert(run.run);
            }
        }
        for (const std::string &line : world->linesOf("run_crashed")) {
            if (valueIn(line, "job") == job && valueIn(line, "answered") == "0"
                && m_crashed.count(valueIn(line, "worker")) > 0) {
                crashed[valueIn(line, "task")].insert(std::stoull(valueIn(line, "run")));
            }
        }
        return std::any_of(crashed.begin(), crashed.end(), [](const auto &entry) {
            return entry.second.size() > 1;
        });
    }

    static std::string valueIn(const std::string &line, const std::string &name)
    {
        const std::size_t begin = line.find(" " + name + "=") + name.size() + 2;
        return line.substr(begin, line.find(' ', begin) - begin);
    }

    Random m_random;
    Faults m_faults;
    int m_workers = 0;
    int m_submitted = 0;
    std::set<int> m_away; ///< Nodes that are killed or paused.
    std::set<JobId> m_longRunning;
    std::set<JobId> m_cancelled;
    std::set<WorkerId> m_crashed; ///< Workers that have crashed.
    std::shared_ptr<std::vector<JobId>> m_accepted = std::make_shared<std::vector<JobId>>();

public:
    std::unique_ptr<WorkflowWorld> world;
};

/// Starts whose calls time out, some of them long before they are carried out.
Faults timedOutStarts()
{
    Faults out;
    out.minDelayMs = callTimeoutMs;
    out.maxDelayMs = 2500;
    out.restartsWithinMs = 390; // Before the first call ends, so no stop is confirmed before the restart.
    return out;
}

/// The lease of a worker may be over before it is back and the start reaches it.
Faults lateStarts()
{
    Faults out = timedOutStarts();
    out.minDelayMs = 4000;
    out.maxDelayMs = 9000;
    out.maxDownMs = 6500;
    return out;
}

/// Everything at once. Starts reach only the incarnation that they are for.
Faults allFaults()
{
    Faults out;
    out.bindsStarts = true;
    out.maxDelayMs = 2500;
    out.delayedForMs = 3000;
    out.maxDownMs = 6500;
    out.maxRestarts = 3;
    out.restartsWithinMs = 2000;
    out.dropsObservations = true;
    out.cutsWorkers = true;
    out.stopsStore = true;
    out.cancelsJobs = true;
    out.listsFewEnds = true;
    return out;
}

void checkWorlds(const Faults &faults, std::uint64_t worlds)
{
    for (std::uint64_t seed = 1; seed <= worlds; ++seed) {
        CAPTURE(seed);
        RandomStarts random(seed, faults);
        random.play();
        REQUIRE(random.accepted() > 0);
        CHECK(random.runTwice().empty());
        CHECK(random.notEnded().empty());
    }
}

} // namespace

// Guards against a task at work twice: a start was under way while its worker restarted under its id, and reached the
// next incarnation. Each worker restarts once while an order may be under way, and before a stop of it is confirmed;
// for the rest see startafterstop_test.
TEST_CASE("starts that reach the next incarnations of their workers in random worlds run no task twice")
{
    SECTION("answered in time")
    {
        Faults faults;
        faults.restartsWithinMs = 400;
        checkWorlds(faults, 20);
    }
    SECTION("timed out")
    {
        checkWorlds(timedOutStarts(), 20);
    }
    SECTION("after the lease is over")
    {
        checkWorlds(lateStarts(), 15);
    }
}

// Guards against a task at work twice, or never again, because the answer to its start, or the lists of its worker,
// came late or not at all while the worker restarted.
TEST_CASE("held up answers of starts and lost lists in random worlds run no task twice")
{
    Faults faults;
    faults.holdsUpAnswers = true;
    faults.dropsObservations = true;
    faults.maxRestarts = 2;
    faults.restartsWithinMs = 600;
    SECTION("under one coordinator")
    {
        checkWorlds(faults, 20);
    }
    SECTION("while coordinators are killed and paused")
    {
        faults.replacesCoordinators = true;
        checkWorlds(faults, 15);
    }
}

// Guards against the same while workers restart several times, are cut off and unlisted, the store is silent, jobs are
// cancelled and coordinators are killed or paused, with starts that are carried out seconds later.
TEST_CASE("starts under way in random worlds with all faults run no task twice and lose no job")
{
    Faults faults = allFaults();
    SECTION("under one coordinator")
    {
        checkWorlds(faults, 15);
    }
    SECTION("while coordinators are killed and paused")
    {
        faults.replacesCoordinators = true;
        checkWorlds(faults, 15);
    }
    SECTION("while workers are not listed")
    {
        faults.unlistsWorkers = true;
        faults.replacesCoordinators = true;
        checkWorlds(faults, 10);
    }
}
