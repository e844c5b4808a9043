#pragma once

#include "fescueledge/types.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace fescueledge::workflow {

/// How many start orders may be without an answer.
///
/// A coordinator that is short of processor time handles answers late, and one that is handled after its timeout is
/// lost: the order is repeated, workers count as silent, and the load rises further. The window follows the latency of
/// the orders, so that tasks wait before they are ordered instead.
class StartWindow
{
public:
    void recordSent()
    {
        ++m_outstanding;
    }
    /// Records the answer to an order, or its timeout, @p latency after it was sent.
    void recordAnswer(Duration latency, TimePoint now);
    /// Number of orders that may be sent now; 0 while there is room for few, so that a run of the dispatch sends many.
    std::uint64_t room() const
    {
        const std::uint64_t left = m_size > m_outstanding ? m_size - m_outstanding : 0;
        return left >= m_size / 4 ? left : 0;
    }
    std::uint64_t size() const
    {
        return m_size;
    }

private:
    void closeEpoch(TimePoint now);

    std::uint64_t m_size = 64; ///< Enough for thousands of starts a second if each is answered within ten milliseconds.
    std::uint64_t m_outstanding = 0;
    bool m_wasFull = false; ///< The window was full in the current epoch.
    TimePoint m_epochBegan{};
    std::vector<Duration> m_latencies; ///< Of the orders answered in the current epoch.
};

} // namespace fescueledge::workflow
