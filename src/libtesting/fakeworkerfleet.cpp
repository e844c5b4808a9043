#include "fescueledge/testing/fakeworkerfleet.h"

#include "fescueledge/loop.h"
#include "fescueledge/testing/simworld.h"

#include <algorithm>

namespace fescueledge {

namespace {

constexpr Milliseconds tickInterval{250};
constexpr std::size_t maxSnapshots = 40;
constexpr double defaultLoad = 0.5;

double seconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

Duration scaled(Duration span, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(span.count()) * factor));
}

std::int64_t coresUsed(const FakeTaskBehaviour &behaviour, const TaskCommand &command, double share)
{
    const double cores = static_cast<double>(std::min(behaviour.use.milliCores, command.resources.milliCores)) * share;
    return static_cast<std::int64_t>(cores);
}

} // namespace

FakeWorkerFleet::FakeWorkerFleet(SimWorld *world, std::uint64_t seed)
    : m_world(world)
    , m_random(seed)
{
    tick();
}

void FakeWorkerFleet::add(const VmEntry &vm, const Resources &reserve, double clockRate)
{
    Worker worker;
    worker.vm = vm;
    worker.reserve = reserve;
    worker.clockRate = clockRate;
    m_workers[vm.name] = worker;
}

void FakeWorkerFleet::kill(const WorkerId &worker)
{
    Worker &row = m_workers.at(worker);
    for (auto it = row.runs.begin(); it != row.runs.end(); ++it) {
        if (!it->second.report.isTerminal()) {
            stop(&it->second, TaskReport::State::Stopped, "the VM ended");
        }
    }
    row.alive = false;
}

void FakeWorkerFleet::setFailsAll(const WorkerId &worker, bool failsAll)
{
    m_workers.at(worker).failsAll = failsAll;
}

void FakeWorkerFleet::setCut(const NodeId &node, bool requests, bool replies)
{
    m_cuts[node] = {requests, replies};
}

double FakeWorkerFleet::trueP99Ms(const WorkerId &worker) const
{
    return p99Ms(m_workers.at(worker));
}

int FakeWorkerFleet::runningOn(const WorkerId &worker) const
{
    int running = 0;
    const Worker &row = m_workers.at(worker);
    for (auto it = row.runs.begin(); it != row.runs.end(); ++it) {
        running += it->second.report.isTerminal() ? 0 : 1;
    }
    return running;
}

std::vector<WorkerId> FakeWorkerFleet::names() const
{
    std::vector<WorkerId> names;
    for (auto it = m_workers.begin(); it != m_workers.end(); ++it) {
        names.push_back(it->first);
    }
    return names;
}

void FakeWorkerFleet::tick()
{
    for (auto it = m_workers.begin(); it != m_workers.end(); ++it) {
        Worker &worker = it->second;
        if (worker.alive) {
            expireLease(&worker);
            advance(&worker, tickInterval);
            worker.snapshots.push_back(measure(worker));
            if (worker.snapshots.size() > maxSnapshots) {
                worker.snapshots.pop_front();
            }
        }
    }
    m_world->after(tickInterval, [this] {
        tick();
    });
}

void FakeWorkerFleet::advance(Worker *worker, Duration span)
{
    for (auto it = worker->runs.begin(); it != worker->runs.end(); ++it) {
        if (!it->second.report.isTerminal()) {
            advanceRun(worker, &it->second, span);
        }
    }
}

void FakeWorkerFleet::advanceRun(Worker *worker, Run *run, Duration span)
{
    const TaskCommand &command = run->command;
    if (run->checkpointAt != TimePoint()) {
        if (m_world->now() >= run->checkpointAt) {
            save(run);
        }
        return;
    }
    const double cores = static_cast<double>(coresUsed(run->behaviour, command, run->share));
    const double wanted = static_cast<double>(std::max<std::int64_t>(1, run->behaviour.use.milliCores));
    run->progress += scaled(span, cores / wanted);
    totals.workDone += seconds(span) * cores / wanted;
    const Duration done = run->progress - run->resumedFrom;
    const bool outOfMemory =
        run->behaviour.use.memoryMb > command.resources.memoryMb && done > run->behaviour.duration / 10;
    const bool fails = (run->behaviour.fails || worker->failsAll) && done >= run->behaviour.failAfter;
    if (outOfMemory || fails) {
        ++totals.failed;
        stop(run, TaskReport::State::Failed, outOfMemory ? "out of memory" : "exit 1");
    } else if (run->progress >= run->behaviour.duration) {
        ++totals.finished;
        ++finishes[command.task];
        run->resumedFrom = run->progress;
        stop(run, TaskReport::State::Finished, "exit 0");
    }
}

void FakeWorkerFleet::save(Run *run)
{
    ++totals.checkpointed;
    run->report.checkpoint = "checkpoint/" + run->command.task + "/" + std::to_string(run->command.attempt);
    m_checkpoints[run->report.checkpoint] = run->progress;
    run->resumedFrom = run->progress;
    stop(run, TaskReport::State::Checkpointed, "");
}

void FakeWorkerFleet::stop(Run *run, TaskReport::State state, const std::string &detail)
{
    totals.workLost += seconds(run->progress - run->resumedFrom);
    run->report.state = state;
    run->report.detail = detail;
    const auto it = m_running.find(run->command.task);
    if (it != m_running.end() && it->second.second == run->command.attempt) {
        m_running.erase(it);
    }
}

void FakeWorkerFleet::expireLease(Worker *worker)
{
    if (clockOf(*worker) <= worker->leaseUntil) {
        return;
    }
    for (auto it = worker->runs.begin(); it != worker->runs.end(); ++it) {
        if (!it->second.report.isTerminal()) {
            stop(&it->second, TaskReport::State::Stopped, "the lease lapsed");
        }
    }
}

WorkerReply FakeWorkerFleet::handle(const WorkerId &name, const WorkerRequest &request)
{
    Worker &worker = m_workers.at(name);
    expireLease(&worker);
    if (request.epoch < worker.epoch) {
        WorkerReply fenced;
        fenced.fenced = true;
        fenced.epoch = worker.epoch;
        return fenced;
    }
    worker.epoch = request.epoch;
    const bool inTime = clockOf(worker) <= request.startBefore;
    if (inTime) {
        worker.leaseUntil = std::max(worker.leaseUntil, clockOf(worker) + request.lease);
    }
    for (const TaskCommand &command : request.commands) {
        apply(&worker, command, inTime);
    }
    return reply(&worker);
}

void FakeWorkerFleet::apply(Worker *worker, const TaskCommand &command, bool inTime)
{
    const auto it = worker->runs.find({command.task, command.attempt});
    const bool runs = it != worker->runs.end() && !it->second.report.isTerminal();
    switch (command.kind) {
    case TaskCommand::Kind::Start:
        if (it == worker->runs.end()) {
            startRun(worker, command, inTime);
        }
        break;
    case TaskCommand::Kind::Throttle:
        if (runs) {
            totals.throttles += command.cpuShare < it->second.share ? 1 : 0;
            it->second.share = command.cpuShare;
        }
        break;
    case TaskCommand::Kind::Checkpoint:
        if (runs && it->second.checkpointAt == TimePoint()) {
            it->second.checkpointAt = m_world->now() + checkpointTime;
        }
        break;
    case TaskCommand::Kind::Stop:
        if (runs) {
            stop(&it->second, TaskReport::State::Stopped, "on command");
        } else if (it == worker->runs.end()) {
            Run &run = worker->runs[{command.task, command.attempt}];
            run.command = command;
            run.report.task = command.task;
            run.report.attempt = command.attempt;
            run.report.state = TaskReport::State::Stopped;
        }
        break;
    case TaskCommand::Kind::Forget:
        if (it != worker->runs.end() && !runs) {
            worker->runs.erase(it);
        }
        break;
    }
}

void FakeWorkerFleet::startRun(Worker *worker, const TaskCommand &command, bool inTime)
{
    Run run;
    run.command = command;
    run.report.task = command.task;
    run.report.attempt = command.attempt;
    run.report.limit = reportsLimits ? command.resources : Resources();
    run.report.label = reportsLimits ? command.label : std::string();
    if (!inTime) {
        run.report.state = TaskReport::State::Refused;
        run.report.detail = "the start command came too late";
        worker->runs[{command.task, command.attempt}] = run;
        return;
    }
    run.behaviour = behaviourOf(command);
    const auto saved = m_checkpoints.find(command.checkpoint);
    run.progress = saved == m_checkpoints.end() ? Duration::zero() : saved->second;
    run.resumedFrom = run.progress;
    worker->runs[{command.task, command.attempt}] = run;
    ++totals.started;
    checkStart(*worker, command);
    m_running[command.task] = {worker->vm.name, command.attempt};
    if (onStart) {
        onStart(worker->vm, command);
    }
}

void FakeWorkerFleet::checkStart(const Worker &worker, const TaskCommand &command)
{
    Resources sum = worker.reserve;
    for (auto it = worker.runs.begin(); it != worker.runs.end(); ++it) {
        sum += it->second.report.isTerminal() ? Resources() : it->second.command.resources;
    }
    if (!sum.fitsIn(worker.vm.capacity)) {
        violations.push_back("over capacity: worker=" + worker.vm.name + " task=" + command.task);
    }
    const auto other = m_running.find(command.task);
    if (other != m_running.end()) {
        violations.push_back("two attempts: task=" + command.task + " worker=" + worker.vm.name
                             + " worker=" + other->second.first);
    }
}

WorkerReply FakeWorkerFleet::reply(Worker *worker) const
{
    WorkerReply reply;
    reply.epoch = worker->epoch;
    reply.clock = clockOf(*worker);
    const Snapshot *lagging = nullptr;
    for (const Snapshot &snapshot : worker->snapshots) {
        lagging = snapshot.when + reportLag <= m_world->now() ? &snapshot : lagging;
    }
    for (auto it = worker->runs.begin(); it != worker->runs.end(); ++it) {
        TaskReport report = it->second.report;
        if (lagging != nullptr) {
            const auto used = lagging->usedByTask.find(it->first);
            report.used = used == lagging->usedByTask.end() ? Resources() : used->second;
        }
        reply.tasks.push_back(report);
    }
    if (lagging != nullptr) {
        reply.used = lagging->used;
        reply.serviceP99 = Milliseconds(static_cast<std::int64_t>(lagging->p99Ms));
    }
    return reply;
}

FakeWorkerFleet::Snapshot FakeWorkerFleet::measure(const Worker &worker) const
{
    Snapshot snapshot;
    snapshot.when = m_world->now();
    snapshot.used = worker.reserve;
    snapshot.p99Ms = p99Ms(worker);
    for (auto it = worker.runs.begin(); it != worker.runs.end(); ++it) {
        const Run &run = it->second;
        if (!run.report.isTerminal()) {
            Resources used = run.behaviour.use;
            used.milliCores = coresUsed(run.behaviour, run.command, run.share);
            used.memoryMb = std::min(used.memoryMb, run.command.resources.memoryMb);
            snapshot.usedByTask[it->first] = used;
            snapshot.used += used;
        }
    }
    return snapshot;
}

double FakeWorkerFleet::p99Ms(const Worker &worker) const
{
    const double load = loadOf ? loadOf(worker.vm.name) : defaultLoad;
    double rise = 0;
    for (auto it = worker.runs.begin(); it != worker.runs.end(); ++it) {
        const Run &run = it->second;
        if (!run.report.isTerminal()) {
            const double cores = static_cast<double>(coresUsed(run.behaviour, run.command, run.share));
            rise += run.behaviour.interference * cores / static_cast<double>(worker.vm.capacity.milliCores);
        }
    }
    return baseP99Ms * (1 + load) * (1 + rise * load);
}

Milliseconds FakeWorkerFleet::clockOf(const Worker &worker) const
{
    const Duration now = scaled(m_world->now().time_since_epoch(), worker.clockRate);
    return std::chrono::duration_cast<Milliseconds>(now);
}

/// An exchange in progress, completed by its reply or its timeout, whichever comes first.
struct FakeWorkerAgent::PendingExchange
{
    bool done = false;
    Handler handler;

    void finish(const WorkerExchangeResult &result)
    {
        if (!done) {
            done = true;
            handler(result);
        }
    }
};

FakeWorkerAgent::FakeWorkerAgent(FakeWorkerFleet *fleet, Loop *loop, const NodeId &node)
    : m_fleet(fleet)
    , m_loop(loop)
    , m_node(node)
{
}

void FakeWorkerAgent::exchange(const VmEntry &worker, const WorkerRequest &request, Milliseconds timeout,
                               Handler handler)
{
    auto pending = std::make_shared<PendingExchange>();
    pending->handler = std::move(handler);
    Random &random = m_fleet->m_random;
    const FakeWorkerFleet::Faults &faults = m_fleet->faults;
    if (!random.chance(faults.loseRequest)) {
        const bool late = random.chance(faults.late);
        deliver(worker.name, request, late ? scaled(faults.lateBy, random.unit()) : Duration::zero(), pending);
    }
    if (random.chance(faults.duplicate)) {
        deliver(worker.name, request, scaled(faults.lateBy, random.unit()), pending);
    }
    m_loop->postAfter(timeout, [pending] {
        pending->finish(WorkerExchangeResult());
    });
}

void FakeWorkerAgent::deliver(const WorkerId &worker, const WorkerRequest &request, Duration delay,
                              const std::shared_ptr<PendingExchange> &pending)
{
    FakeWorkerFleet *fleet = m_fleet;
    Loop *loop = m_loop;
    const NodeId node = m_node;
    fleet->m_world->after(delay + fleet->latency, [fleet, loop, node, worker, request, pending] {
        const auto it = fleet->m_workers.find(worker);
        const std::pair<bool, bool> cut = fleet->m_cuts[node];
        if (it == fleet->m_workers.end() || !it->second.alive || cut.first) {
            return;
        }
        WorkerExchangeResult result;
        result.answered = true;
        result.reply = fleet->handle(worker, request);
        if (cut.second || fleet->m_random.chance(fleet->faults.loseReply)) {
            return;
        }
        fleet->m_world->after(fleet->latency, [loop, pending, result] {
            loop->post([pending, result] {
                pending->finish(result);
            });
        });
    });
}

} // namespace fescueledge
