#include "pacingsystem_pvt.h"

#include "ordersystem_pvt.h"

#include <algorithm>

namespace fescueledge::workflow {

namespace {

/// Above this share of its target a tail counts as too long: gauges are rough and half a second old.
constexpr double slowDownAbove = 0.85;
/// Below this share fillers are sped up again.
constexpr double speedUpBelow = 0.6;
/// A change of pace shows in the gauges after so long.
constexpr Milliseconds settleTime{600};
constexpr int slowDownFactor = 2;
constexpr int speedUpStep = 25;
/// Below this pace a filler is not worth its disturbance; it waits.
constexpr int leastPace = 12;
constexpr int fullPace = 100;

} // namespace

PacingSystem::PacingSystem(std::shared_ptr<Context> context, OrderSystem *orders)
    : m_context(std::move(context))
    , m_orders(orders)
{
}

void PacingSystem::observe(Worker *worker)
{
    const TimePoint now = m_context->now();
    if (now < worker->pacedAt + settleTime) {
        return;
    }
    double worst = 0;
    bool fillers = false;
    for (const Task *task : worker->tasks) {
        const StepSpec &spec = *task->step->spec;
        fillers = fillers || spec.filler;
        if (spec.tailTarget.count() > 0 && task->gauge > 0) {
            worst = std::max(worst, static_cast<double>(task->gauge) / static_cast<double>(spec.tailTarget.count()));
        }
    }
    if (!fillers || (worst <= slowDownAbove && worst >= speedUpBelow)) {
        return;
    }
    bool changed = false;
    for (Task *task : worker->tasks) {
        if (!task->step->spec->filler || task->phase != TaskPhase::Running) {
            continue;
        }
        const int pace = std::max(task->pace, 0);
        int next = worst > slowDownAbove ? pace / slowDownFactor : std::min(fullPace, pace + speedUpStep);
        if (next < leastPace) {
            next = 0;
        }
        if (next != task->pace) {
            m_orders->pace(task, next);
            changed = true;
        }
    }
    if (changed) {
        worker->pacedAt = now;
    }
}

} // namespace fescueledge::workflow
