// Load pattern: short tasks that use most of a fleet, and wide tasks that need a whole worker each, while forecasts are
// wrong, workers go away, or the fleet is large.
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

constexpr Milliseconds submitInterval{100};
constexpr Milliseconds shortWork{600};
constexpr Milliseconds wideWork{400};
constexpr Milliseconds lastingWork{600'000};
constexpr std::int64_t workerCores = 4;
const std::string widePrefix = "3";
const std::string shortPrefix = "b";
const std::string lastingPrefix = "c";

JobId jobNumber(const std::string &prefix, int i)
{
    return prefix + "0000000000" + std::to_string(10000 + i);
}

bool isWide(const JobId &id)
{
    return id.compare(0, 1, widePrefix) == 0;
}

/// Short and wide jobs on a fleet of four cores a worker; estimates are @p factor times what the tasks take.
class MixedLoad
{
public:
    MixedLoad(int workers, bool lookAhead, double factor = 1)
        : world(readyWorld(1, workers, workerCores))
        , m_factor(factor)
    {
        world->kill(0);
        world->settings.lookAhead = lookAhead;
        world->startNode(0);
        world->run(std::chrono::seconds(8));
        REQUIRE(world->coordinator() == 0);
        world->workers.workOf = [](const TaskKey &key) {
            const bool lasts = key.job.compare(0, 1, lastingPrefix) == 0;
            return std::make_pair(lasts ? lastingWork : isWide(key.job) ? wideWork : shortWork, false);
        };
    }

    /// Submits @p tasks short tasks each 100 ms for @p span.
    void keepBusy(Duration span, std::uint32_t tasks)
    {
        for (const TimePoint until = world->world.now() + span; world->world.now() < until;) {
            submit(jobNumber(shortPrefix, m_shortJobs++), step(tasks, 1, shortWork), "urgent");
            world->run(submitInterval);
        }
    }

    JobId submitWide(std::uint32_t tasks)
    {
        JobId id = jobNumber(widePrefix, m_wideJobs++);
        submit(id, step(tasks, workerCores, wideWork), "batch");
        return id;
    }

    /// How long the tasks of the jobs that begin with @p prefix waited for their first starts, ordered. Tasks that have
    /// not started count with their wait so far.
    std::vector<Milliseconds> waits(const std::string &prefix)
    {
        std::vector<Milliseconds> out;
        for (const auto &[id, submitted] : m_submitted) {
            if (id.compare(0, prefix.size(), prefix) != 0) {
                continue;
            }
            std::map<std::uint32_t, TimePoint> began;
            for (const SimWorkers::RunRecord &run : world->workers.runsOf(id)) {
                began.emplace(run.task.index, run.began);
            }
            for (std::uint32_t i = 0; i < submitted.second; ++i) {
                const TimePoint at = began.count(i) > 0 ? began.at(i) : world->world.now();
                out.push_back(std::chrono::duration_cast<Milliseconds>(at - submitted.first));
            }
        }
        std::sort(out.begin(), out.end());
        return out;
    }

    /// The value of @p key in the last line of event @p event; empty if there is none.
    std::string lastValue(const std::string &event, const std::string &key)
    {
        const std::vector<std::string> lines = world->linesOf(event);
        const std::size_t at = lines.empty() ? std::string::npos : lines.back().find(" " + key + "=");
        if (at == std::string::npos) {
            return std::string();
        }
        const std::size_t begin = at + key.size() + 2;
        return lines.back().substr(begin, lines.back().find(' ', begin) - begin);
    }

    std::unique_ptr<WorkflowWorld> world;

private:
    StepSpec step(std::uint32_t tasks, std::int64_t cores, Milliseconds work) const
    {
        StepSpec step = simpleStep(tasks);
        step.perTask.milliCores = cores * 1000;
        step.estimate = std::chrono::duration_cast<Milliseconds>(work * m_factor);
        return step;
    }

    void submit(const JobId &id, const StepSpec &step, const std::string &queue)
    {
        m_submitted[id] = {world->world.now(), step.count};
        REQUIRE(world->submit(0, id, workflowOf({step}), queue) == CallerOutcome::Ok);
    }

    double m_factor;
    int m_shortJobs = 0;
    int m_wideJobs = 0;
    std::map<JobId, std::pair<TimePoint, std::uint32_t>> m_submitted; ///< When, and how many tasks.
};

Milliseconds quantile(const std::vector<Milliseconds> &ordered, double share)
{
    return ordered.empty() ? Milliseconds{0}
                           : ordered.at(static_cast<std::size_t>(share * static_cast<double>(ordered.size() - 1)));
}

/// Waits until a worker is reserved and returns it; empty if none is within @p limit.
WorkerId awaitReservation(MixedLoad *load, Duration limit)
{
    const std::size_t before = load->world->countInLogs("worker_held");
    for (const TimePoint until = load->world->world.now() + limit; load->world->world.now() < until;) {
        load->keepBusy(submitInterval, 4);
        if (load->world->countInLogs("worker_held") > before) {
            return load->lastValue("worker_held", "worker");
        }
    }
    return WorkerId();
}

} // namespace

// Guards against reservations that never lead to a start, or that keep short tasks out, because callers' estimates are
// wrong by as much as users allow.
TEST_CASE("wide tasks start although all estimates are wrong")
{
    const double factor = GENERATE(0.2, 0.9, 1 / 0.9, 1 / 0.2);
    MixedLoad load(3, true, factor);
    load.keepBusy(std::chrono::seconds(3), 2);
    const JobId wide = load.submitWide(1);
    load.keepBusy(std::chrono::seconds(12), 2);
    CAPTURE(factor, load.world->countInLogs("worker_held"), load.world->countInLogs("reservation_ended"));
    CHECK(load.world->workers.runsOf(wide).size() == 1);
    load.world->run(std::chrono::seconds(2));
    CHECK(quantile(load.waits(shortPrefix), 0.99) < std::chrono::seconds(5));
    CHECK(load.world->workers.tasksRunTwice().empty());
}

// Guards against wide work that waits for a worker which no longer gets starts.
TEST_CASE("a reservation ends with its worker, and the work gets another one")
{
    const std::string how = GENERATE(as<std::string>{}, "crash", "drain", "evacuate");
    MixedLoad load(3, true);
    load.keepBusy(std::chrono::seconds(3), 4);
    const JobId wide = load.submitWide(1);
    const WorkerId reserved = awaitReservation(&load, std::chrono::seconds(6));
    REQUIRE_FALSE(reserved.empty());
    REQUIRE(load.world->workers.runsOf(wide).empty());
    if (how == "crash") {
        load.world->workers.crash(reserved);
    } else if (how == "drain") {
        load.world->workers.setDraining(reserved);
    } else {
        Catalog catalog = load.world->catalog;
        ++catalog.version;
        catalog.evacuated.insert(load.world->workers.find(reserved)->entry.dataCentre);
        load.world->setCatalog(catalog);
    }
    load.keepBusy(std::chrono::seconds(3), 1);
    CAPTURE(how, reserved);
    const std::vector<std::string> ends = load.world->linesOf("reservation_ended");
    CHECK(std::any_of(ends.begin(), ends.end(), [&reserved](const std::string &line) {
        return line.find("worker=" + reserved + " ") != std::string::npos
            && line.find("outcome=worker_unusable") != std::string::npos;
    }));
    load.keepBusy(std::chrono::seconds(8), 1);
    REQUIRE(load.world->workers.runsOf(wide).size() == 1);
    CHECK(load.world->workers.runsOf(wide).front().worker != reserved);
    CHECK(load.world->workers.tasksRunTwice().empty());
}

// Guards against reservations that starve short work, and against wide work that gets none: both are served.
TEST_CASE("short tasks keep being served while wide ones get their turn")
{
    const auto waitsWith = [](bool lookAhead) {
        MixedLoad load(8, lookAhead);
        load.keepBusy(std::chrono::seconds(3), 4); // 24 of 32 cores.
        for (int i = 0; i < 6; ++i) {
            load.submitWide(1);
            load.keepBusy(std::chrono::seconds(3), 4);
        }
        load.keepBusy(std::chrono::seconds(4), 4);
        return std::make_pair(load.waits(shortPrefix), load.waits(widePrefix));
    };
    const auto [shortOff, wideOff] = waitsWith(false);
    const auto [shortOn, wideOn] = waitsWith(true);
    WARN("waits in ms, look-ahead off and on: short p50 "
         << quantile(shortOff, 0.5).count() << " and " << quantile(shortOn, 0.5).count() << ", p99 "
         << quantile(shortOff, 0.99).count() << " and " << quantile(shortOn, 0.99).count() << "; wide p50 "
         << quantile(wideOff, 0.5).count() << " and " << quantile(wideOn, 0.5).count() << ", worst "
         << quantile(wideOff, 1).count() << " and " << quantile(wideOn, 1).count());
    CHECK(quantile(shortOn, 0.99) < std::chrono::seconds(1));
    CHECK(quantile(wideOn, 1) < std::chrono::seconds(10));
}

// Guards against long-running tasks that count as lost after 9 s because workers are reserved for other work.
TEST_CASE("a long-running task gets a worker that is reserved for a wide one")
{
    MixedLoad load(1, true);
    load.keepBusy(std::chrono::seconds(3), 1);
    load.submitWide(4);
    REQUIRE_FALSE(awaitReservation(&load, std::chrono::seconds(6)).empty());
    StepSpec lasting = simpleStep(1);
    lasting.longRunning = true;
    const JobId id = jobNumber(lastingPrefix, 0);
    load.world->submit(0, id, workflowOf({lasting}));
    load.keepBusy(std::chrono::seconds(8), 1);
    CHECK(load.world->workers.runsOf(id).size() == 1);
}

// Guards against a fleet of which a large part stays idle for reservations, and against wide work that finds none
// there.
TEST_CASE("in a fleet of 1,100 workers at most one in eight is reserved")
{
    constexpr int fleetSize = 1100;
    MixedLoad load(fleetSize, true);
    constexpr std::uint32_t shortTasks = 700; // Each 100 ms: 4,200 of 4,400 cores.
    load.keepBusy(std::chrono::seconds(2), shortTasks);
    std::vector<JobId> wide;
    wide.reserve(10);
    for (int i = 0; i < 10; ++i) {
        wide.push_back(load.submitWide(20));
    }
    load.keepBusy(std::chrono::seconds(8), shortTasks);
    int reserved = 0;
    int most = 0;
    for (const std::string &line : load.world->log(0).lines) {
        reserved += MemoryLog::isOf(line, "worker_held") ? 1 : MemoryLog::isOf(line, "reservation_ended") ? -1 : 0;
        most = std::max(most, reserved);
    }
    std::size_t started = 0;
    for (const JobId &id : wide) {
        started += load.world->workers.runsOf(id).size();
    }
    WARN("most reserved " << most << ", wide tasks started " << started << " of 200, reservations "
                          << load.world->countInLogs("worker_held"));
    CHECK(most > 0);
    CHECK(most <= fleetSize / 8);
    CHECK(started > 0);
    CHECK(quantile(load.waits(shortPrefix), 0.5) < std::chrono::seconds(1));
}
