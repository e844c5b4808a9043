#pragma once

#include "fescueledge/vmlist.h"

namespace fescueledge {

class Loop;

/// A VM list that tests write directly, so that they control its lag.
class FakeVmList : public VmList
{
public:
    explicit FakeVmList(Loop *loop, const std::vector<VmEntry> *entries);
    void list(Handler handler) override;

    bool down = false;

private:
    Loop *m_loop;
    const std::vector<VmEntry> *m_entries;
};

} // namespace fescueledge
