#include "loadreport_pvt.h"

#include "ordersystem_pvt.h"
#include "placement_pvt.h"

#include <algorithm>
#include <utility>

namespace fescueledge::workflow {

namespace {

constexpr std::chrono::seconds reportInterval{1};

std::int64_t microseconds(Duration time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

} // namespace

LoadReport::LoadReport(std::shared_ptr<Context> context, const OrderSystem *orders, const Placement *placement,
                       Milliseconds tickInterval)
    : m_context(std::move(context))
    , m_orders(orders)
    , m_placement(placement)
    , m_tickInterval(tickInterval)
    , m_processorTimeBefore(processorTimeSoFar())
{
}

Duration LoadReport::processorTimeSoFar() const
{
    return m_context->processorTime ? m_context->processorTime() : Duration::zero();
}

Duration LoadReport::tick(Duration listAge)
{
    const TimePoint now = m_context->now();
    const Duration delay = m_tickDueAt == TimePoint{} ? Duration::zero() : now - m_tickDueAt;
    m_longestTickDelay = std::max(m_longestTickDelay, delay);
    m_tickDueAt = now + m_tickInterval;
    if (now >= m_reportedAt + reportInterval) {
        report(now, listAge);
    }
    return delay;
}

void LoadReport::report(TimePoint now, Duration listAge)
{
    m_reportedAt = now;
    const Duration processorTime = processorTimeSoFar();
    const std::uint64_t considered = m_placement->considered();
    LogLine line("coordinator_load");
    line.with("term", static_cast<std::int64_t>(m_context->term))
        .with("list_age_ms", std::chrono::duration_cast<Milliseconds>(listAge))
        .with("loop_delay_ms", std::chrono::duration_cast<Milliseconds>(m_longestTickDelay))
        .with("workers", static_cast<std::int64_t>(m_context->fleet.all().size()))
        .with("start_window", static_cast<std::int64_t>(m_orders->window.size()))
        .with("starts", static_cast<std::int64_t>(m_orders->startsSent))
        .with("jobs", static_cast<std::int64_t>(m_context->jobs.all().size()))
        .with("open_steps", static_cast<std::int64_t>(m_context->jobs.openSteps().size()))
        .with("considered", static_cast<std::int64_t>(considered - m_consideredBefore))
        .with("cpu_us", microseconds(processorTime - m_processorTimeBefore));
    addActivities(&line);
    m_context->log->write(line);
    m_longestTickDelay = Duration::zero();
    m_processorTimeBefore = processorTime;
    m_consideredBefore = considered;
}

void LoadReport::addActivities(LogLine *line) const
{
    const ActivityMeter::Usages usages = m_context->activities.take();
    for (std::size_t i = 0; i < usages.size(); ++i) {
        const ActivityMeter::Usage &usage = usages.at(i);
        if (usage.calls > 0) {
            const std::string name = activityName(static_cast<Activity>(i));
            line->with(name, static_cast<std::int64_t>(usage.calls)).with(name + "_us", microseconds(usage.time));
        }
    }
}

} // namespace fescueledge::workflow
