#pragma once

#include "fescueledge/vmlist.h"

namespace fescueledge {

class Loop;

/// A VM list that tests write directly. What lag it has is up to the test.
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
