#pragma once

#include "context_pvt.h"
#include "disruptionbudget_pvt.h"
#include "fescueledge/load/movedecision.h"

namespace fescueledge::workflow {

class OrderSystem;
struct StepHeadroom;

/// Keeps the response times of serving tasks under their targets.
///
/// It learns from each observation which fillers disturb which serving tasks, slows these fillers down as soon as the
/// expected headroom gets short, and moves them to a worker where they disturb no serving task if they end earlier that
/// way.
class PacingSystem
{
public:
    PacingSystem(std::shared_ptr<Context> context, OrderSystem *orders);

    /// Updates the model with the newest gauges of @p worker, and adjusts the pace of its fillers.
    void observe(Worker *worker);
    /// Whether another worker could take @p task and leave enough headroom to the serving tasks there. Set by the
    /// coordinator.
    std::function<bool(const Task &)> hasBetterPlace;

private:
    void updateModel(Worker *worker);
    /// Records which serving tasks on @p worker are over their target, and since when.
    void updateOverTarget(Worker *worker) const;
    std::vector<StepHeadroom> expectedHeadroom(const Worker &worker) const;
    void slowInterferingFillers(Worker *worker, const StepHeadroom &affected, bool overTarget);
    void pauseAllFillers(Worker *worker);
    void speedUp(Worker *worker);
    void resendPaces(Worker *worker);
    /// Records since when fillers on @p worker have been paused.
    void updatePausedSince(Worker *worker) const;
    /// The highest pace at which @p task would leave @p steps, which share its worker, enough headroom.
    int affordablePace(const Worker &worker, const Task &task, const std::vector<StepHeadroom> &steps) const;
    /// Adds up the work that fillers on @p worker have done.
    void updateWork(Worker *worker) const;
    void moveSlowedFillers(Worker *worker);
    load::SlowedTask slowedTask(const Task &task) const;
    void move(Task *task, const load::SlowedTask &slowed, const load::MoveForecast &forecast);
    void countDeclinedMove(Task *task, const load::SlowedTask &slowed, const load::MoveForecast &forecast);
    void reportDeclinedMoves();

    std::shared_ptr<Context> m_context;
    OrderSystem *m_orders;
    DisruptionBudget m_budget;
    load::MoveDecision m_moveDecision;
    int m_declinedMoves = 0; ///< Fillers left in place since the last report.
    load::SlowedTask m_lastDeclined;
    load::MoveForecast m_lastDeclinedForecast;
    TimePoint m_declinedReportedAt{};
};

} // namespace fescueledge::workflow
