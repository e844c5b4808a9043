#include "pacingsystem_pvt.h"

#include "ordersystem_pvt.h"

#include <algorithm>

namespace fescueledge::workflow {

namespace {

/// Above this share of its target a tail counts as too long: gauges are rough and half a second old.
constexpr double slowDownAbove = 0.85;
/// Below this share for every serving task, fillers are sped up again.
constexpr double speedUpBelow = 0.6;
/// Fillers may add this much of a target to a tail before they are slowed down.
constexpr double toleratedAddition = 0.1;
/// A tail over its target for so long stops all fillers, whatever the model says: half of what users bear.
constexpr Milliseconds overTargetLimit{1500};
/// A change of pace shows in the gauges after so long.
constexpr Milliseconds settleTime{400};
/// A filler that has been held at a low pace for so long is moved.
constexpr Milliseconds stuckTime{150};
constexpr int slowPace = 50;
constexpr int speedUpStep = 50;
constexpr int fullPace = 100;

double tailOf(const Task &task)
{
    return static_cast<double>(task.gauge) / static_cast<double>(task.step->spec->tailTarget.count());
}

bool isServing(const Task &task)
{
    return task.step->spec->tailTarget.count() > 0 && task.phase == TaskPhase::Running && task.gauge > 0;
}

bool isRunningFiller(const Task &task)
{
    return task.step->spec->filler && task.phase == TaskPhase::Running;
}

double share(const Worker &worker, std::int64_t milliCores)
{
    return static_cast<double>(milliCores)
        / static_cast<double>(std::max<std::int64_t>(1, worker.entry.capacity.milliCores));
}

} // namespace

FillerLoad gaugedLoad(const Worker &worker)
{
    FillerLoad load;
    for (const Task *task : worker.tasks) {
        if (isRunningFiller(*task) && task->gauge > 0) {
            load[task->step->spec->image] += share(worker, task->gauge);
        }
    }
    return load;
}

PacingSystem::PacingSystem(std::shared_ptr<Context> context, OrderSystem *orders)
    : m_context(std::move(context))
    , m_orders(orders)
{
}

void PacingSystem::learn(const Worker &worker)
{
    const FillerLoad load = gaugedLoad(worker);
    for (const Task *task : worker.tasks) {
        if (isServing(*task) && task->percent == fullPace) {
            m_context->interference.learn(task->step->spec->image, tailOf(*task), load);
        }
    }
}

void PacingSystem::observe(Worker *worker)
{
    learn(*worker);
    const TimePoint now = m_context->now();
    const Task *worst = nullptr;
    bool fillers = false;
    for (Task *task : worker->tasks) {
        fillers = fillers || isRunningFiller(*task);
        if (!isServing(*task)) {
            continue;
        }
        if (tailOf(*task) <= 1) {
            task->overTargetSince = TimePoint{};
        } else if (task->overTargetSince == TimePoint{}) {
            task->overTargetSince = now;
        }
        if (worst == nullptr || tailOf(*task) > tailOf(*worst)) {
            worst = task;
        }
    }
    if (!fillers) {
        return;
    }
    if (worst != nullptr && worst->overTargetSince != TimePoint{} && now - worst->overTargetSince > overTargetLimit) {
        slowAll(worker);
    } else if (worst != nullptr && tailOf(*worst) > slowDownAbove && now > worker->pacedAt + settleTime) {
        slowCulprits(worker, *worst);
    } else if (worst == nullptr || (tailOf(*worst) < speedUpBelow && now > worker->pacedAt + settleTime)) {
        speedUp(worker);
    }
    moveStuck(worker);
}

void PacingSystem::slowCulprits(Worker *worker, const Task &victim)
{
    const InterferenceModel &model = m_context->interference;
    const std::string &image = victim.step->spec->image;
    std::vector<std::pair<double, Task *>> culprits;
    double sum = 0;
    for (Task *task : worker->tasks) {
        if (isRunningFiller(*task) && task->pace != 0) {
            const double adds =
                model.added(image, task->step->spec->image, share(*worker, task->step->spec->perTask.milliCores));
            culprits.emplace_back(adds, task);
            sum += adds;
        }
    }
    std::sort(culprits.begin(), culprits.end(), [](const auto &a, const auto &b) {
        return a.first > b.first;
    });
    worker->pacedAt = m_context->now();
    if (sum <= toleratedAddition) {
        // The model knows no culprit. Over its target, all are slowed down until it does.
        for (const std::pair<double, Task *> &entry : culprits) {
            if (tailOf(victim) > 1) {
                m_orders->pace(entry.second, slowPace);
            }
        }
        return;
    }
    for (const std::pair<double, Task *> &entry : culprits) {
        if (sum <= toleratedAddition) {
            break;
        }
        m_orders->pace(entry.second, 0);
        sum -= entry.first;
    }
}

void PacingSystem::slowAll(Worker *worker)
{
    for (Task *task : worker->tasks) {
        if (isRunningFiller(*task)) {
            m_orders->pace(task, 0);
        }
    }
    worker->pacedAt = m_context->now();
}

void PacingSystem::speedUp(Worker *worker)
{
    const InterferenceModel &model = m_context->interference;
    for (Task *task : worker->tasks) {
        if (!isRunningFiller(*task) || task->pace == fullPace) {
            continue;
        }
        double adds = 0;
        for (const Task *serving : worker->tasks) {
            if (isServing(*serving)) {
                adds = std::max(adds,
                                model.added(serving->step->spec->image, task->step->spec->image,
                                            share(*worker, task->step->spec->perTask.milliCores)));
            }
        }
        if (adds <= toleratedAddition) {
            m_orders->pace(task, std::min(fullPace, std::max(task->pace, 0) + speedUpStep));
            worker->pacedAt = m_context->now();
        }
    }
}

void PacingSystem::moveStuck(Worker *worker)
{
    const TimePoint now = m_context->now();
    for (Task *task : worker->tasks) {
        if (!isRunningFiller(*task) || task->pace >= slowPace) {
            task->slowSince = TimePoint{};
        } else if (task->slowSince == TimePoint{}) {
            task->slowSince = now;
        } else if (now - task->slowSince > stuckTime && hasBetterPlace(*task)) {
            m_context->log->write(LogLine("run_moved_away")
                                      .with("job", task->step->occurrence->job->id)
                                      .with("task", toString(keyOf(*task)))
                                      .with("worker", worker->id)
                                      .with("reason", "disturbs serving tasks"));
            m_orders->stop(task);
        }
    }
}

} // namespace fescueledge::workflow
