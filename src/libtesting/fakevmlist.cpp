#include "fescueledge/testing/fakevmlist.h"

#include "fescueledge/loop.h"

namespace fescueledge {

FakeVmList::FakeVmList(Loop *loop, const std::vector<VmEntry> *entries)
    : m_loop(loop)
    , m_entries(entries)
{
}

void FakeVmList::list(Handler handler)
{
    VmListResult result;
    result.available = !down;
    if (result.available) {
        result.entries = *m_entries;
    }
    m_loop->postAfter(Milliseconds(2), [handler, result] {
        handler(result);
    });
}

} // namespace fescueledge
