#include "fescueledge/testing/fakerackdirectory.h"

#include "fescueledge/loop.h"

namespace fescueledge {

namespace {

constexpr Milliseconds refreshInterval{1000};

} // namespace

FakeRackDirectory::FakeRackDirectory(Loop *loop, const std::vector<VmEntry> *list)
    : m_loop(loop)
    , m_list(list)
{
}

void FakeRackDirectory::start()
{
    refresh();
    m_loop->postAfter(refreshInterval, [this] {
        start();
    });
}

void FakeRackDirectory::refresh()
{
    const std::vector<VmEntry> before = m_entries;
    m_entries = *m_list;
    m_lastRefresh = m_loop->now();
    for (const VmEntry &entry : before) {
        if (find(entry.name) == nullptr) {
            m_missingSince.emplace(entry.name, m_loop->now());
        }
    }
    for (const VmEntry &entry : m_entries) {
        m_missingSince.erase(entry.name);
    }
}

const std::vector<VmEntry> &FakeRackDirectory::entries() const
{
    return m_entries;
}

const VmEntry *FakeRackDirectory::find(const std::string &name) const
{
    for (const VmEntry &entry : m_entries) {
        if (entry.name == name) {
            return &entry;
        }
    }
    return nullptr;
}

std::optional<TimePoint> FakeRackDirectory::missingSince(const std::string &name) const
{
    const auto it = m_missingSince.find(name);
    return it == m_missingSince.end() ? std::nullopt : std::optional<TimePoint>(it->second);
}

std::optional<TimePoint> FakeRackDirectory::lastRefresh() const
{
    return m_lastRefresh;
}

} // namespace fescueledge
