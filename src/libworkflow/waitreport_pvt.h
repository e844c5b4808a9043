#pragma once

#include "context_pvt.h"

namespace fescueledge::workflow {

class AccountGate;
class ObservationSystem;
class Placement;

/// Logs why steps wait for a worker: how many workers each reason rules out.
class WaitReport
{
public:
    WaitReport(std::shared_ptr<Context> context, Placement *placement, const ObservationSystem *observations,
               const AccountGate *accounts);

    /// Logs steps that have waited for a long time, a few per interval.
    void run();

private:
    void report(Step *step);

    std::shared_ptr<Context> m_context;
    Placement *m_placement;
    const ObservationSystem *m_observations;
    const AccountGate *m_accounts;
    TimePoint m_ranAt{};
};

} // namespace fescueledge::workflow
