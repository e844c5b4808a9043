#pragma once

#include "fescueledge/vmdirectory.h"

#include <map>

namespace fescueledge {

class Loop;
class VmList;
struct VmListResult;

/// Reads the platform's VM list once a second and keeps the last answer. All calls on the control loop; the object
/// must outlive the loop's last event.
class VmPoller : public VmDirectory
{
public:
    VmPoller(Loop *loop, VmList *list);

    /// Starts polling; the first request is sent immediately.
    void start();
    /// Stops polling.
    void stop();

    const std::vector<VmEntry> &entries() const override;
    const VmEntry *find(const std::string &name) const override;
    std::optional<TimePoint> missingSince(const std::string &name) const override;
    std::optional<TimePoint> lastRefresh() const override;

private:
    void poll();
    void onAnswer(TimePoint requestedAt, const VmListResult &result);

    Loop *m_loop;
    VmList *m_list;
    bool m_running = false;
    std::vector<VmEntry> m_entries;
    std::map<std::string, TimePoint> m_missingSince;
    std::optional<TimePoint> m_lastRefresh;
};

} // namespace fescueledge
