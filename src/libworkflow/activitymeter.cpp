#include "activitymeter_pvt.h"

#include <utility>

namespace fescueledge::workflow {

const char *activityName(Activity activity)
{
    static constexpr std::array<const char *, activityCount> names{"dispatch", "starts",  "stops",        "paces",
                                                                   "observes", "answers", "observations", "pacing",
                                                                   "writes",   "jobs",    "fleet",        "tick"};
    return names.at(static_cast<std::size_t>(activity));
}

ActivityMeter::ActivityMeter(std::function<TimePoint()> clock)
    : m_clock(std::move(clock))
{
}

ActivityMeter::Scope::Scope(ActivityMeter *meter, Activity activity)
    : m_meter(meter)
    , m_activity(activity)
    , m_outer(meter->m_current)
{
    m_meter->settle();
    m_meter->m_current = this;
    ++m_meter->m_usages.at(static_cast<std::size_t>(activity)).calls;
}

ActivityMeter::Scope::~Scope()
{
    m_meter->settle();
    m_meter->m_current = m_outer;
}

void ActivityMeter::settle()
{
    const TimePoint now = m_clock();
    if (m_current != nullptr) {
        m_usages.at(static_cast<std::size_t>(m_current->m_activity)).time += now - m_settledAt;
    }
    m_settledAt = now;
}

ActivityMeter::Usages ActivityMeter::take()
{
    settle();
    return std::exchange(m_usages, Usages{});
}

} // namespace fescueledge::workflow
