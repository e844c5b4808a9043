#pragma once

#include "context_pvt.h"

namespace fescueledge::workflow {

class OrderSystem;
class Placement;

/// Logs, once a second, how busy the coordinator is and with what, how late its loop runs, and how old its knowledge
/// is.
class LoadReport
{
public:
    /// tick() will be called each @p tickInterval, as far as the loop keeps up.
    LoadReport(std::shared_ptr<Context> context, const OrderSystem *orders, const Placement *placement,
               Milliseconds tickInterval);

    /// @p listAge is the age of the list of workers. Returns by how much this tick is late.
    Duration tick(Duration listAge);

private:
    void report(TimePoint now, Duration listAge);
    Duration processorTimeSoFar() const;
    void addActivities(LogLine *line) const;

    std::shared_ptr<Context> m_context;
    const OrderSystem *m_orders;
    const Placement *m_placement;
    Milliseconds m_tickInterval;
    TimePoint m_tickDueAt{};
    Duration m_longestTickDelay{0}; ///< Since the last report.
    TimePoint m_reportedAt{};
    Duration m_processorTimeBefore; ///< At the last report.
    std::uint64_t m_consideredBefore = 0;
};

} // namespace fescueledge::workflow
