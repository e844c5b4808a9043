#pragma once

#include <cstdint>
#include <map>

namespace fescueledge::workflow {

struct Worker;

/// Workers in the order of their latest changes, so that what was decided before can be revised by a look at those that
/// have changed since.
class ChangeOrder
{
public:
    using ByNumber = std::map<std::uint64_t, Worker *>;

    /// Number of changes so far; the next one gets the number after it.
    std::uint64_t count() const
    {
        return m_count;
    }
    /// Records a change of @p worker. @p number is that of its previous change, 0 if there was none, and becomes that
    /// of this one.
    void add(Worker *worker, std::uint64_t *number)
    {
        m_workers.erase(*number);
        *number = ++m_count;
        m_workers.emplace_hint(m_workers.end(), *number, worker);
    }
    void remove(std::uint64_t number)
    {
        m_workers.erase(number);
    }
    /// The first worker that has changed after change @p number; those up to end() follow.
    ByNumber::const_iterator after(std::uint64_t number) const
    {
        return m_workers.upper_bound(number);
    }
    ByNumber::const_iterator end() const
    {
        return m_workers.end();
    }

private:
    ByNumber m_workers;
    std::uint64_t m_count = 0;
};

} // namespace fescueledge::workflow
