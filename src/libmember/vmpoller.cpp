#include "fescueledge/vmpoller.h"

#include "fescueledge/loop.h"
#include "fescueledge/vmlist.h"

#include <algorithm>

namespace fescueledge {

namespace {

constexpr Milliseconds pollInterval{1000};

std::vector<VmEntry>::const_iterator findByName(const std::vector<VmEntry> &entries, const std::string &name)
{
    const auto it =
        std::lower_bound(entries.begin(), entries.end(), name, [](const VmEntry &entry, const std::string &n) {
            return entry.name < n;
        });
    return it != entries.end() && it->name == name ? it : entries.end();
}

} // namespace

VmPoller::VmPoller(Loop *loop, VmList *list)
    : m_loop(loop)
    , m_list(list)
{
}

void VmPoller::start()
{
    m_running = true;
    poll();
}

void VmPoller::stop()
{
    m_running = false;
}

const std::vector<VmEntry> &VmPoller::entries() const
{
    return m_entries;
}

const VmEntry *VmPoller::find(const std::string &name) const
{
    const auto it = findByName(m_entries, name);
    return it == m_entries.end() ? nullptr : &*it;
}

std::optional<TimePoint> VmPoller::missingSince(const std::string &name) const
{
    const auto it = m_missingSince.find(name);
    return it == m_missingSince.end() ? std::nullopt : std::optional<TimePoint>(it->second);
}

std::optional<TimePoint> VmPoller::lastRefresh() const
{
    return m_lastRefresh;
}

void VmPoller::poll()
{
    if (!m_running) {
        return;
    }
    const TimePoint requestedAt = m_loop->now();
    m_list->list([this, requestedAt](const VmListResult &result) {
        onAnswer(requestedAt, result);
    });
    m_loop->postAfter(pollInterval, [this] {
        poll();
    });
}

void VmPoller::onAnswer(TimePoint requestedAt, const VmListResult &result)
{
    const bool outdated = m_lastRefresh.has_value() && requestedAt < *m_lastRefresh;
    if (!result.available || outdated) {
        return;
    }
    std::vector<VmEntry> previous = result.entries;
    std::sort(previous.begin(), previous.end(), [](const VmEntry &a, const VmEntry &b) {
        return a.name < b.name;
    });
    m_entries.swap(previous);
    m_lastRefresh = requestedAt;
    for (const VmEntry &entry : previous) {
        if (findByName(m_entries, entry.name) == m_entries.end()) {
            m_missingSince.emplace(entry.name, m_loop->now());
        }
    }
    for (const VmEntry &entry : m_entries) {
        m_missingSince.erase(entry.name);
    }
}

} // namespace fescueledge
