#pragma once

#include "context_pvt.h"

namespace fescueledge::workflow {

class OrderSystem;

/// Keeps the response times of serving tasks under their targets.
///
/// It learns from each observation which fillers disturb which serving tasks, slows the culprits down at once, and
/// moves them to a worker where they disturb nobody.
class PacingSystem
{
public:
    PacingSystem(std::shared_ptr<Context> context, OrderSystem *orders);

    /// Learns from and judges @p worker by its newest gauges.
    void observe(Worker *worker);
    /// Whether some worker could take @p task without harm to the serving tasks there. Set by the coordinator.
    std::function<bool(const Task &)> hasBetterPlace;

private:
    void learn(const Worker &worker);
    void slowCulprits(Worker *worker, const Task &victim);
    void slowAll(Worker *worker);
    void speedUp(Worker *worker);
    void moveStuck(Worker *worker);

    std::shared_ptr<Context> m_context;
    OrderSystem *m_orders;
};

/// What the fillers on @p worker use of it, by image, as gauged.
FillerLoad gaugedLoad(const Worker &worker);
} // namespace fescueledge::workflow
