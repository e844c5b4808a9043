#pragma once

#include "fescueledge/vmdirectory.h"

#include <map>

namespace fescueledge {

class Loop;

/// One node's view of a VM list that the test writes; read once a second.
class FakeRackDirectory : public VmDirectory
{
public:
    FakeRackDirectory(Loop *loop, const std::vector<VmEntry> *list);
    void start();

    const std::vector<VmEntry> &entries() const override;
    const VmEntry *find(const std::string &name) const override;
    std::optional<TimePoint> missingSince(const std::string &name) const override;
    std::optional<TimePoint> lastRefresh() const override;

private:
    void refresh();

    Loop *m_loop;
    const std::vector<VmEntry> *m_list;
    std::vector<VmEntry> m_entries;
    std::map<std::string, TimePoint> m_missingSince;
    std::optional<TimePoint> m_lastRefresh;
};

} // namespace fescueledge
