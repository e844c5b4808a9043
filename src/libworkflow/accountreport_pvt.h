#pragma once

#include "context_pvt.h"

namespace fescueledge::workflow {

/// Logs, for each account that has work, its share, its limit, and what runs and waits.
class AccountReport
{
public:
    explicit AccountReport(std::shared_ptr<Context> context);
    /// Logs if it is time to.
    void run();

private:
    std::shared_ptr<Context> m_context;
    TimePoint m_ranAt{};
};

} // namespace fescueledge::workflow
