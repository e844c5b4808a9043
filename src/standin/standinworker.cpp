#include "standinworker_pvt.h"

#include <algorithm>
#include <utility>

namespace fescueledge {

namespace {

constexpr Milliseconds defaultRunTime{1000};

/// A checkpoint is named `checkpoints/<task>/<attempt>@<milliseconds done>`.
Milliseconds doneInCheckpoint(const std::string &name)
{
    const std::size_t at = name.rfind('@');
    return at == std::string::npos ? Milliseconds(0) : Milliseconds(std::stoll(name.substr(at + 1)));
}

Milliseconds sinceEpoch(std::chrono::system_clock::time_point when)
{
    return std::chrono::duration_cast<Milliseconds>(when.time_since_epoch());
}

} // namespace

StandInWorker::StandInWorker(VmEntry entry)
    : m_entry(std::move(entry))
    , m_bootedAt(Clock::now())
{
}

const VmEntry &StandInWorker::entry() const
{
    return m_entry;
}

WorkerReply StandInWorker::exchange(const WorkerRequest &request, int requestsInFlight)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const TimePoint now = Clock::now();
    advance(now);
    WorkerReply reply;
    reply.clock = clock(now);
    reply.fenced = request.epoch < m_epoch;
    if (!reply.fenced) {
        m_epoch = request.epoch;
        if (clock(now) <= request.startBefore) {
            if (clock(now) <= request.startBefore) {
                m_leaseEnds = now + request.lease;
            }
        }
        for (const TaskCommand &command : request.commands) {
            carryOut(command, request.startBefore, now);
        }
    }
    reply.epoch = m_epoch;
    reply.requestsInFlight = requestsInFlight;
    reply.used = used();
    for (const auto &[id, attempted] : m_attempts) {
        reply.tasks.push_back(attempted.report);
    }
    return reply;
}

bool StandInWorker::acceptsEpoch(Epoch epoch)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return epoch >= m_epoch;
}

nlohmann::json StandInWorker::ledger()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    advance(Clock::now());
    return m_ledger;
}

void StandInWorker::setFailsEverything(bool fails)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_failsEverything = fails;
}

void StandInWorker::advance(TimePoint now)
{
    for (auto &[id, attempted] : m_attempts) {
        if (attempted.report.isTerminal()) {
            continue;
        }
        if (now - attempted.startedAt >= attempted.length - attempted.doneBefore) {
            const bool failed = attempted.fails;
            end(&attempted, failed ? TaskReport::State::Failed : TaskReport::State::Finished,
                failed ? "fail" : "finish");
        } else if (now >= m_leaseEnds) {
            end(&attempted, TaskReport::State::Stopped, "stop");
        }
    }
}

void StandInWorker::end(Attempted *attempted, TaskReport::State state, const char *event)
{
    attempted->report.state = state;
    record(event, attempted->report.task, attempted->report.attempt);
}

void StandInWorker::carryOut(const TaskCommand &command, Milliseconds startBefore, TimePoint now)
{
    const auto it = m_attempts.find({command.task, command.attempt});
    if (command.kind == TaskCommand::Kind::Start) {
        if (it == m_attempts.end()) {
            start(command, startBefore, now);
        }
        return;
    }
    if (it == m_attempts.end()) {
        return;
    }
    Attempted &attempted = it->second;
    if (command.kind == TaskCommand::Kind::Forget) {
        if (attempted.report.isTerminal()) {
            m_attempts.erase(it);
        }
    } else if (command.kind == TaskCommand::Kind::Checkpoint && !attempted.report.isTerminal()) {
        checkpoint(&attempted, now);
    } else if (command.kind == TaskCommand::Kind::Stop && !attempted.report.isTerminal()) {
        end(&attempted, TaskReport::State::Stopped, "stop");
    }
}

void StandInWorker::start(const TaskCommand &command, Milliseconds startBefore, TimePoint now)
{
    Attempted attempted;
    attempted.report.task = command.task;
    attempted.report.attempt = command.attempt;
    attempted.report.limit = command.resources;
    attempted.report.label = command.label;
    attempted.report.limit = command.resources;
    attempted.report.label = command.label;
    attempted.resources = command.resources;
    attempted.startedAt = now;
    if (clock(now) > startBefore || !(used() + command.resources).fitsIn(m_entry.capacity)) {
        attempted.report.detail = clock(now) > startBefore ? "too late" : "no room";
        end(&attempted, TaskReport::State::Refused, "refuse");
    } else {
        const nlohmann::json payload = nlohmann::json::parse(command.payload, nullptr, false);
        const bool isObject = payload.is_object();
        attempted.length = isObject ? Milliseconds(payload.value("run_ms", defaultRunTime.count())) : defaultRunTime;
        attempted.fails = m_failsEverything || (isObject && payload.value("fail", false));
        attempted.length = m_failsEverything ? Milliseconds(0) : attempted.length;
        attempted.doneBefore = doneInCheckpoint(command.checkpoint);
        attempted.report.used = command.resources;
        record(command.checkpoint.empty() ? "start" : "resume", command.task, command.attempt);
    }
    m_attempts[{command.task, command.attempt}] = attempted;
}

void StandInWorker::checkpoint(Attempted *attempted, TimePoint now)
{
    const Milliseconds done =
        attempted->doneBefore + std::chrono::duration_cast<Milliseconds>(now - attempted->startedAt);
    attempted->report.checkpoint = "checkpoints/" + attempted->report.task + "/"
        + std::to_string(attempted->report.attempt) + "@" + std::to_string(done.count());
    end(attempted, TaskReport::State::Checkpointed, "checkpoint");
}

void StandInWorker::record(const char *event, const TaskId &task, Attempt attempt)
{
    m_ledger.push_back({{"event", event},
                        {"task", task},
                        {"attempt", attempt},
                        {"worker", m_entry.name},
                        {"data_centre", m_entry.dataCentre},
                        {"at_ms", sinceEpoch(std::chrono::system_clock::now()).count()}});
}

Resources StandInWorker::used() const
{
    Resources sum;
    for (const auto &[id, attempted] : m_attempts) {
        if (!attempted.report.isTerminal()) {
            sum += attempted.resources;
        }
    }
    return sum;
}

Milliseconds StandInWorker::clock(TimePoint now) const
{
    return std::chrono::duration_cast<Milliseconds>(now - m_bootedAt);
}

} // namespace fescueledge
