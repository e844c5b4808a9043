#pragma once

#include "context_pvt.h"

namespace fescueledge::workflow {

class OrderSystem;

/// Keeps the response times of serving tasks under their targets: fillers beside them are slowed down, and sped up
/// again when the tails allow it.
class PacingSystem
{
public:
    PacingSystem(std::shared_ptr<Context> context, OrderSystem *orders);

    /// Judges @p worker by its newest gauges.
    void observe(Worker *worker);

private:
    std::shared_ptr<Context> m_context;
    OrderSystem *m_orders;
};

} // namespace fescueledge::workflow
