#pragma once

#include "context_pvt.h"

namespace fescueledge::workflow {

/// The tasks of a step that are away while another one is moved, by reason.
struct AwayTasks
{
    std::uint32_t waiting = 0; ///< On no worker.
    std::uint32_t starting = 0; ///< Ordered and not at work yet, or seen at work for too short a time.
    std::uint32_t stopping = 0;
    std::uint32_t unreachable = 0; ///< Their workers do not answer at present, or not yet in this term.
    std::uint32_t ganged = 0; ///< At work, but they end with the other one, as members of its gang.

    std::uint32_t total() const
    {
        return waiting + starting + stopping + unreachable + ganged;
    }
};

/// Decides whether a task may be stopped although it could go on where it is: StepSpec::maxUnavailable limits how many
/// tasks of its step may be away at the same time.
///
/// It counts by what the workers tell of the tasks, whatever they are away for. So it needs no memory of orders, and
/// what a predecessor has stopped counts too: after a takeover a task is away until its worker has listed it at work.
class DisruptionBudget
{
public:
    explicit DisruptionBudget(std::shared_ptr<Context> context);

    /// Whether @p task may be moved away from its worker now. Logs why not.
    bool allowsMove(const Task &task) const;
    /// The tasks of the step of @p task that are away while it is moved, not counting @p task itself.
    AwayTasks othersAway(const Task &task) const;

private:
    bool isReachable(const Worker &worker) const;
    bool isAtWork(const Task &task) const;
    void countRunning(const Task &task, AwayTasks *away) const;
    void logDeferredMove(const Task &task, const AwayTasks &away) const;

    std::shared_ptr<Context> m_context;
};

} // namespace fescueledge::workflow
