#include "queuechaos_pvt.h"

#include "fakerackowner_pvt.h"
#include "storedjob_pvt.h"

#include <string>

namespace fescueledge {

namespace {

constexpr int nodes = 4;
constexpr int racks = 3;
constexpr int workersPerRack = 3;
constexpr Milliseconds stepInterval{400};
constexpr Milliseconds leaseTimeout{3000};
constexpr std::chrono::minutes recoveryTimeout{10};

} // namespace

QueueChaos::QueueChaos(std::uint64_t seed, const Options &options)
    : fleet(seed, nodes, racks, workersPerRack, Resources{8000, 8000, 0})
    , m_options(options)
{
    fleet.network.loss = 0.02;
    fleet.workers.failChance = options.failures;
    fleet.workers.taskDuration = Milliseconds(200 + static_cast<int>(fleet.random.below(1500)));
}

void QueueChaos::submitAll()
{
    for (int i = 0; i < m_options.jobs; ++i) {
        const int tasks = 1 + static_cast<int>(fleet.random.below(static_cast<std::size_t>(m_options.maxTasks)));
        JobSpec spec = fleet.spec("t" + std::to_string(i % 5), "k" + std::to_string(i), tasks, 1000);
        spec.taskClass = fleet.random.chance(0.2) ? TaskClass::LatencyCritical : TaskClass::Batch;
        spec.maxLosses = 50;
        m_specs[spec.key] = spec;
        fleet.world.after(m_options.faultDuration / m_options.jobs * i, [this, i, spec] {
            fleet.submit(i % nodes, spec);
        });
    }
}

bool QueueChaos::run()
{
    submitAll();
    const TimePoint end = fleet.world.now() + m_options.faultDuration;
    while (fleet.world.now() < end) {
        step();
        fleet.world.runFor(stepInterval);
        reassignShards();
    }
    heal();
    const TimePoint limit = fleet.world.now() + recoveryTimeout;
    while (fleet.world.now() < limit) {
        if (fleet.accepted().size() == m_specs.size() && fleet.allEnded()) {
            return true;
        }
        reassignShards();
        fleet.world.runFor(std::chrono::seconds(1));
    }
    return false;
}

void QueueChaos::step()
{
    using Fault = void (QueueChaos::*)();
    static constexpr Fault faults[] = {&QueueChaos::storeFault,  &QueueChaos::killNode,  &QueueChaos::pauseNode,
                                       &QueueChaos::isolateNode, &QueueChaos::moveShard, &QueueChaos::moveShard};
    for (int i = 0; i < 2; ++i) {
        if (fleet.random.chance(0.3)) {
            (this->*faults[fleet.random.below(std::size(faults))])();
        }
    }
    for (int i = 0; i < nodes; ++i) {
        fleet.node(i).rack->staleReportChance = m_options.staleReports;
    }
    if (fleet.random.chance(m_options.evictions)) {
        evictSome();
    }
    if (fleet.random.chance(m_options.workerLosses)) {
        loseWorker();
    }
    if (fleet.random.chance(m_options.cancellations)) {
        cancelSome();
    }
}

void QueueChaos::storeFault()
{
    FakeTableService::Faults faults;
    faults.down = fleet.random.chance(0.3);
    faults.loseAnswer = fleet.random.unit() * 0.4;
    faults.loseRequest = fleet.random.unit() * 0.2;
    faults.latency = Milliseconds(5 + static_cast<int>(fleet.random.below(200)));
    fleet.setFaults(faults);
    fleet.world.after(Milliseconds(1000 + static_cast<int>(fleet.random.below(5000))), [this] {
        fleet.setFaults(FakeTableService::Faults());
    });
}

void QueueChaos::killNode()
{
    const int i = static_cast<int>(fleet.random.below(nodes));
    if (!fleet.node(i).loop.isAlive() || m_paused.count(i) != 0) {
        return;
    }
    fleet.kill(i);
    fleet.world.after(Milliseconds(500 + static_cast<int>(fleet.random.below(3000))), [this, i] {
        fleet.restart(i);
    });
}

void QueueChaos::pauseNode()
{
    const int i = static_cast<int>(fleet.random.below(nodes));
    if (!fleet.node(i).loop.isAlive() || !m_paused.insert(i).second) {
        return;
    }
    fleet.node(i).loop.pause();
    fleet.world.after(leaseTimeout, [this, i] {
        releaseShards(fleet.node(i).authority.self());
    });
    fleet.world.after(leaseTimeout + Milliseconds(fleet.random.below(4000)), [this, i] {
        m_paused.erase(i);
        fleet.node(i).loop.resume();
    });
}

void QueueChaos::isolateNode()
{
    const int i = static_cast<int>(fleet.random.below(nodes));
    const NodeId id = fleet.node(i).authority.self();
    if (!m_isolated.insert(i).second) {
        return;
    }
    fleet.network.setIsolated(id, true);
    fleet.world.after(leaseTimeout, [this, id] {
        releaseShards(id);
    });
    fleet.world.after(leaseTimeout + Milliseconds(fleet.random.below(4000)), [this, i, id] {
        m_isolated.erase(i);
        fleet.network.setIsolated(id, false);
    });
}

void QueueChaos::moveShard()
{
    const std::vector<ShardId> shards = fleet.shards();
    fleet.assignments.revoke(shards[fleet.random.below(shards.size())]);
}

void QueueChaos::releaseShards(const NodeId &node)
{
    for (auto &[shard, ownership] : fleet.assignments.ownerships) {
        if (ownership.owner == node) {
            ownership.owner.clear();
        }
    }
}

void QueueChaos::reassignShards()
{
    for (auto &[shard, ownership] : fleet.assignments.ownerships) {
        if (!ownership.owner.empty()) {
            m_reassignAt.erase(shard);
            continue;
        }
        const TimePoint at =
            m_reassignAt.emplace(shard, fleet.world.now() + Milliseconds(fleet.random.below(2000))).first->second;
        const int to = static_cast<int>(fleet.random.below(nodes));
        const bool able = fleet.node(to).loop.isAlive() && m_paused.count(to) == 0 && m_isolated.count(to) == 0;
        if (fleet.world.now() >= at && able) {
            fleet.assignments.assign(shard, fleet.node(to).authority.self(), fleet.node(to).authority.incarnation());
        }
    }
}

void QueueChaos::loseWorker()
{
    auto it = fleet.workers.workers.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(fleet.random.below(fleet.workers.workers.size())));
    const WorkerId id = it->first;
    fleet.workers.lose(id);
    fleet.world.after(Milliseconds(fleet.random.below(3000)), [this, id] {
        fleet.workers.restore(id);
    });
}

void QueueChaos::evictSome()
{
    for (auto &[id, worker] : fleet.workers.workers) {
        for (auto &[task, runs] : worker.runs) {
            for (auto &[attempt, run] : runs) {
                if (fleet.random.chance(0.3)) {
                    fleet.workers.stop(worker, task, attempt, true);
                }
            }
        }
    }
}

void QueueChaos::cancelSome()
{
    if (fleet.accepted().empty()) {
        return;
    }
    auto it = fleet.accepted().begin();
    std::advance(it, static_cast<std::ptrdiff_t>(fleet.random.below(fleet.accepted().size())));
    const JobId job = it->second;
    const int i = static_cast<int>(fleet.random.below(nodes));
    fleet.node(i).queue.cancel(job, "chaos", [this, job](const JobQueue::CancelResult &result) {
        if (!result.error) {
            cancelled.emplace(job, result.alreadyEnded);
        }
    });
}

void QueueChaos::heal()
{
    // Faults that end by themselves are over after this time.
    fleet.world.runFor(std::chrono::seconds(10));
    fleet.setFaults(FakeTableService::Faults());
    fleet.network.loss = 0;
}

std::vector<std::string> QueueChaos::findViolations()
{
    std::vector<std::string> found = fleet.workers.violations;
    for (const auto &[key, job] : fleet.accepted()) {
        checkJob(job, found);
    }
    return found;
}

void QueueChaos::checkJob(const JobId &id, std::vector<std::string> &found)
{
    const ReadResult rows = fleet.rows.read({doneRowKey(id)});
    if (rows.rows.empty()) {
        found.push_back("did not end job=" + id);
        return;
    }
    const std::shared_ptr<Job> job = decodeDoneRow(rows.rows.front());
    for (int i = 0; i < job->record.spec.taskCount; ++i) {
        const TaskExplanation task = explainTask(*job, i);
        const std::set<Attempt> &finished = fleet.workers.finishedRuns[task.task];
        const bool recorded = task.state == TaskState::Finished;
        if (recorded && finished.count(task.attempt) == 0) {
            found.push_back("finish recorded without a finish on a worker task=" + task.task);
        }
        if (finished.size() > 1 + fleet.workers.lostFinishes[task.task]) {
            found.push_back("finished more than once task=" + task.task);
        }
        if (task.state == TaskState::Failed && task.failures < job->record.spec.maxAttempts) {
            found.push_back("failed before its attempts were used up task=" + task.task);
        }
        const bool ended = recorded || task.state == TaskState::Failed;
        if (job->record.cancelledBy.empty() && !ended) {
            found.push_back("neither finished nor failed task=" + task.task);
        }
    }
    const auto it = cancelled.find(id);
    if (it != cancelled.end() && !it->second && job->record.cancelledBy.empty()) {
        found.push_back("acknowledged cancellation was lost job=" + id);
    }
}

} // namespace fescueledge
