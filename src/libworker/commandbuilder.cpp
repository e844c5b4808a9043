#include "commandbuilder_pvt.h"

#include "workertable_pvt.h"

namespace fescueledge {

namespace {

using Phase = AttemptRow::Phase;

std::optional<TaskCommand> makeCommand(TaskCommand::Kind kind, const AttemptRow &row)
{
    TaskCommand command;
    command.kind = kind;
    command.task = row.task;
    command.attempt = row.attempt;
    return command;
}

std::optional<TaskCommand> startCommand(const AttemptRow &row)
{
    std::optional<TaskCommand> command = makeCommand(TaskCommand::Kind::Start, row);
    command->resources = row.allocation;
    command->payload = row.offer.payload;
    command->checkpoint = row.offer.checkpoint;
    command->label = attemptLabel(row.offer);
    return command;
}

std::optional<TaskCommand> runningCommand(const AttemptRow &row)
{
    if (row.stopRequested) {
        return makeCommand(TaskCommand::Kind::Stop, row);
    }
    if (row.checkpointRequested) {
        return makeCommand(TaskCommand::Kind::Checkpoint, row);
    }
    if (row.cpuShare != row.appliedCpuShare) {
        std::optional<TaskCommand> command = makeCommand(TaskCommand::Kind::Throttle, row);
        command->cpuShare = row.cpuShare;
        return command;
    }
    return std::nullopt;
}

std::optional<TaskCommand> endedCommand(const WorkerRow &worker, const AttemptRow &row)
{
    if (row.isStillRunning) {
        return makeCommand(TaskCommand::Kind::Stop, row);
    }
    // A start command that is still in flight would restart an attempt that the worker has already forgotten.
    const bool startExpired = worker.clock > row.startBefore;
    return row.settled && startExpired ? makeCommand(TaskCommand::Kind::Forget, row) : std::nullopt;
}

} // namespace

std::optional<TaskCommand> commandFor(const WorkerRow &worker, const AttemptRow &row, TimePoint now, bool mayStart)
{
    switch (row.phase) {
    case Phase::Held:
        return std::nullopt;
    case Phase::Starting:
        if (row.stopRequested) {
            return makeCommand(TaskCommand::Kind::Stop, row);
        }
        return mayStart && now < row.holdUntil ? startCommand(row) : std::nullopt;
    case Phase::Running:
        return runningCommand(row);
    case Phase::Ended:
        return endedCommand(worker, row);
    }
    return std::nullopt;
}

} // namespace fescueledge
