#include "pacingsystem_pvt.h"

#include "headroom_pvt.h"
#include "ordersystem_pvt.h"

#include <algorithm>

namespace fescueledge::workflow {

namespace {

/// Below this headroom fillers are slowed down. Headroom 1 is just enough, but gauges are imprecise and a quarter of a
/// second old.
constexpr double minHeadroom = 1.1;
/// A filler that has been paused for this long works at the minimum pace for a moment if that leaves
/// sufficientHeadroom.
constexpr std::chrono::seconds fillerPauseTimeout{3};
constexpr double sufficientHeadroom = 1;
/// Slowed fillers are sped up only if this headroom would be left.
constexpr double speedUpHeadroom = 1.25;
/// How far headroom is predicted ahead: the next gauges, and a pace order, take about this long.
constexpr Milliseconds lookAheadWindow{600};
/// Fillers that take less headroom than this don't count as interfering.
constexpr double negligibleHeadroom = 0.03;
/// A tail over its target for this long, which is half of the time that users accept, pauses all fillers, whatever the
/// model predicts.
constexpr Milliseconds overTargetTimeout{1500};
/// Gauges cover half a second; the same gauge is learnt from only once.
constexpr Milliseconds modelUpdateInterval{450};
/// Weight of each gauge in the running average of a task's deviation from the model, which covers some two seconds.
constexpr double errorSmoothing = 0.25;
/// A filler may be moved once it has been below slowPace for this long.
constexpr Milliseconds slowedFillerTimeout{150};
/// Moves that were not made are counted in one log line of this interval.
constexpr std::chrono::seconds declinedMovesInterval{5};
/// A pace order is resent this often while an earlier unanswered one may still undo it.
constexpr std::chrono::seconds paceResendInterval{2};
constexpr int slowPace = 50;
/// Paces are whole multiples of this.
constexpr int paceStep = 10;
/// A filler is sped up by at least this, or to full pace, because each order is a call to the worker.
constexpr int minSpeedUp = 20;

/// Target / tail of a serving task, as gauged.
double gaugedHeadroom(const Task &task)
{
    return static_cast<double>(task.step->spec->tailTarget.count()) / static_cast<double>(task.gauge);
}

bool isServing(const Task &task)
{
    return task.step->spec->tailTarget.count() > 0 && task.phase == TaskPhase::Running && task.gauge > 0;
}

/// The pace at which @p task takes @p less headroom than the @p taken that it takes now.
int slowerPace(const Task &task, double taken, double less)
{
    const int pace = static_cast<int>(expectedPace(task) * (1 - less / taken)) / paceStep * paceStep;
    return pace < minPace ? 0 : pace;
}

/// Adds the inputs and the times of a decision about a move to @p line.
LogLine withInputs(LogLine line, const load::SlowedTask &slowed, const load::MoveForecast &forecast)
{
    const auto inMs = [](Duration span) {
        return std::chrono::duration_cast<Milliseconds>(span);
    };
    return line.with("pace", slowed.pace)
        .with("slowed_ms", inMs(slowed.slowedFor))
        .with("percent_done", slowed.percentDone)
        .with("percent_gained", slowed.percentGained)
        .with("worked_ms", inMs(slowed.worked))
        .with("expected_ms", inMs(slowed.expected))
        .with("saves_progress", slowed.savesProgress ? 1 : 0)
        .with("left_ms", inMs(forecast.left))
        .with("lost_ms", inMs(forecast.lost))
        .with("stay_ms", inMs(forecast.stay))
        .with("move_ms", inMs(forecast.move));
}

} // namespace

PacingSystem::PacingSystem(std::shared_ptr<Context> context, OrderSystem *orders)
    : m_context(std::move(context))
    , m_orders(orders)
    , m_budget(m_context)
{
}

void PacingSystem::updateModel(Worker *worker)
{
    const TimePoint now = m_context->now();
    if (now < worker->modelUpdatedAt + modelUpdateInterval) {
        return;
    }
    worker->modelUpdatedAt = now;
    const FillerLoad load = gaugedLoad(*worker);
    InterferenceModel &model = m_context->interference;
    for (Task *task : worker->tasks) {
        if (!isServing(*task) || task->percentAtWork != fullPace) {
            continue;
        }
        const std::string &image = task->step->spec->image;
        ServingTrend *trend = &task->step->trend;
        if (trend->isInitialized()) {
            const double error =
                gaugedHeadroom(*task) - (trend->headroomAt(now) - model.takenHeadroom(image, load).expected);
            task->headroomError += errorSmoothing * (error - task->headroomError);
        }
        model.learn(image, trend, gaugedHeadroom(*task), load, now);
    }
}

void PacingSystem::updateOverTarget(Worker *worker) const
{
    TimePoint since{};
    for (Task *task : worker->tasks) {
        if (!isServing(*task)) {
            continue;
        }
        if (gaugedHeadroom(*task) >= 1) {
            task->overTargetSince = TimePoint{};
        } else if (task->overTargetSince == TimePoint{}) {
            task->overTargetSince = m_context->now();
        }
        if (task->overTargetSince != TimePoint{} && (since == TimePoint{} || task->overTargetSince < since)) {
            since = task->overTargetSince;
        }
    }
    worker->overTargetSince = since;
}

std::vector<StepHeadroom> PacingSystem::expectedHeadroom(const Worker &worker) const
{
    return headroomOf(worker, m_context->interference, worker.fillerLoad, m_context->now(), lookAheadWindow);
}

void PacingSystem::observe(Worker *worker)
{
    const ActivityMeter::Scope scope(&m_context->activities, Activity::Pacing);
    updateModel(worker);
    updateOverTarget(worker);
    updatePausedSince(worker);
    updateWork(worker);
    reportDeclinedMoves();
    if (std::none_of(worker->tasks.begin(), worker->tasks.end(), [](const Task *task) {
            return isRunningFiller(*task);
        })) {
        return;
    }
    const bool overTarget = worker->overTargetSince != TimePoint{};
    const std::vector<StepHeadroom> steps = expectedHeadroom(*worker);
    const auto worst = std::min_element(steps.begin(), steps.end(), [](const auto &a, const auto &b) {
        return a.expectedLeft() < b.expectedLeft();
    });
    if (overTarget && m_context->now() - worker->overTargetSince > overTargetTimeout) {
        pauseAllFillers(worker);
    } else if (worst != steps.end() && worst->expectedLeft() < minHeadroom) {
        slowInterferingFillers(worker, *worst, overTarget);
    } else if (!overTarget) {
        speedUp(worker);
    }
    resendPaces(worker);
    moveSlowedFillers(worker);
}

void PacingSystem::updatePausedSince(Worker *worker) const
{
    for (Task *task : worker->tasks) {
        if (!isRunningFiller(*task) || task->pace != 0) {
            task->pausedSince = TimePoint{};
        } else if (task->pausedSince == TimePoint{}) {
            task->pausedSince = m_context->now();
        }
    }
}

void PacingSystem::resendPaces(Worker *worker)
{
    const TimePoint now = m_context->now();
    for (Task *task : worker->tasks) {
        if (isRunningFiller(*task) && task->pacedAt < task->latePaceOrdersUntil
            && now - task->pacedAt >= paceResendInterval) {
            m_orders->resendPace(task);
        }
    }
}

void PacingSystem::slowInterferingFillers(Worker *worker, const StepHeadroom &affected, bool overTarget)
{
    const InterferenceModel &model = m_context->interference;
    std::vector<std::pair<double, Task *>> interfering;
    double shortfall = minHeadroom - affected.expectedLeft();
    for (Task *task : worker->tasks) {
        if (!isRunningFiller(*task) || task->pace == 0) {
            continue;
        }
        const double taken =
            model.takenHeadroom(affected.image, task->step->spec->image, pacedShare(*worker, *task)).expected;
        if (taken >= negligibleHeadroom) {
            interfering.emplace_back(taken, task);
        } else if (overTarget && expectedPace(*task) > slowPace) {
            m_orders->orderPace(task, slowPace); // Until the model has identified the interfering filler.
        }
    }
    std::sort(interfering.begin(), interfering.end(), [](const auto &a, const auto &b) {
        return a.first > b.first;
    });
    m_context->log->write(LogLine("headroom_short")
                              .with("worker", worker->id)
                              .with("image", affected.image)
                              .with("expected_percent", static_cast<std::int64_t>(affected.expectedLeft() * fullPace))
                              .with("over_target", overTarget ? 1 : 0)
                              .with("culprits", static_cast<std::int64_t>(interfering.size())));
    for (const std::pair<double, Task *> &entry : interfering) {
        if (shortfall <= 0) {
            break;
        }
        m_orders->orderPace(entry.second, slowerPace(*entry.second, entry.first, shortfall));
        shortfall -= entry.first;
    }
}

void PacingSystem::pauseAllFillers(Worker *worker)
{
    for (Task *task : worker->tasks) {
        if (isRunningFiller(*task)) {
            m_orders->orderPace(task, 0);
        }
    }
}

int PacingSystem::affordablePace(const Worker &worker, const Task &task, const std::vector<StepHeadroom> &steps) const
{
    const InterferenceModel &model = m_context->interference;
    const std::string &image = task.step->spec->image;
    const double full = shareOf(worker, task.step->spec->perTask.milliCores);
    const bool pausedTooLong =
        task.pausedSince != TimePoint{} && m_context->now() - task.pausedSince > fillerPauseTimeout;
    const double neededHeadroom = pausedTooLong ? sufficientHeadroom
        : task.pace == unknownPace              ? minHeadroom
                                                : speedUpHeadroom;
    const int currentPace = expectedPace(task);
    for (int pace = pausedTooLong ? minPace : fullPace; pace >= minPace && pace >= currentPace; pace -= paceStep) {
        const double more = full * (pace - currentPace) / fullPace;
        const bool enough = std::all_of(steps.begin(), steps.end(), [&](const StepHeadroom &entry) {
            return entry.expectedLeft() - model.takenHeadroom(entry.image, image, more).expected >= neededHeadroom;
        });
        if (enough) {
            return pace;
        }
    }
    return currentPace;
}

void PacingSystem::speedUp(Worker *worker)
{
    const InterferenceModel &model = m_context->interference;
    std::vector<StepHeadroom> steps = expectedHeadroom(*worker);
    for (Task *task : worker->tasks) {
        if (!isRunningFiller(*task) || task->pace == fullPace) {
            continue;
        }
        const int pace = affordablePace(*worker, *task, steps);
        const int currentPace = expectedPace(*task);
        if (pace < fullPace && pace < currentPace + minSpeedUp && (currentPace > 0 || pace == 0)) {
            continue;
        }
        const double more = shareOf(*worker, task->step->spec->perTask.milliCores) * (pace - currentPace) / fullPace;
        for (StepHeadroom &entry : steps) {
            entry.taken += model.takenHeadroom(entry.image, task->step->spec->image, more);
        }
        m_orders->orderPace(task, pace);
    }
}

void PacingSystem::updateWork(Worker *worker) const
{
    const TimePoint now = m_context->now();
    for (Task *task : worker->tasks) {
        if (!isRunningFiller(*task)) {
            continue;
        }
        WatchedWork &work = task->work;
        if (work.run != task->run) {
            work = WatchedWork{};
            work.run = task->run;
            work.firstPercent = task->percentAtWork;
        } else {
            work.worked += (now - work.countedUntil) * expectedPace(*task) / fullPace;
        }
        work.countedUntil = now;
    }
}

load::SlowedTask PacingSystem::slowedTask(const Task &task) const
{
    const StepSpec &spec = *task.step->spec;
    load::SlowedTask out;
    out.isEndless = spec.longRunning;
    out.savesProgress = spec.checkpoints;
    out.expected = m_context->expectedSpan(*task.step);
    out.worked = task.work.worked;
    out.percentDone = task.percentAtWork;
    out.percentGained = task.percentAtWork - task.work.firstPercent;
    out.pace = expectedPace(task);
    out.slowedFor = m_context->now() - task.slowSince;
    return out;
}

void PacingSystem::moveSlowedFillers(Worker *worker)
{
    const TimePoint now = m_context->now();
    for (Task *task : worker->tasks) {
        if (!isRunningFiller(*task) || expectedPace(*task) >= slowPace) {
            task->slowSince = TimePoint{};
            task->moveDeclined = false;
        } else if (task->slowSince == TimePoint{}) {
            task->slowSince = now;
        } else if (now - task->slowSince > slowedFillerTimeout) {
            const load::SlowedTask slowed = slowedTask(*task);
            const load::MoveForecast forecast = m_moveDecision.forecast(slowed);
            if (m_context->settings.weighMoves && !forecast.isWorthwhile) {
                countDeclinedMove(task, slowed, forecast);
            } else if (hasBetterPlace(*task) && m_budget.allowsMove(*task)) {
                move(task, slowed, forecast);
            }
        }
    }
}

void PacingSystem::move(Task *task, const load::SlowedTask &slowed, const load::MoveForecast &forecast)
{
    LogLine line("run_moved_away");
    line.with("job", task->step->occurrence->job->id)
        .with("task", toString(keyOf(*task)))
        .with("worker", task->worker->id)
        .with("reason", "disturbs serving tasks");
    m_context->log->write(withInputs(line, slowed, forecast));
    m_orders->stop(task);
}

void PacingSystem::countDeclinedMove(Task *task, const load::SlowedTask &slowed, const load::MoveForecast &forecast)
{
    if (task->moveDeclined) {
        return;
    }
    task->moveDeclined = true;
    ++m_declinedMoves;
    m_lastDeclined = slowed;
    m_lastDeclinedForecast = forecast;
}

void PacingSystem::reportDeclinedMoves()
{
    const TimePoint now = m_context->now();
    if (m_declinedMoves == 0 || now < m_declinedReportedAt + declinedMovesInterval) {
        return;
    }
    LogLine line("run_moves_declined");
    line.with("fillers", static_cast<std::int64_t>(m_declinedMoves));
    m_context->log->write(withInputs(line, m_lastDeclined, m_lastDeclinedForecast));
    m_declinedMoves = 0;
    m_declinedReportedAt = now;
}

} // namespace fescueledge::workflow
