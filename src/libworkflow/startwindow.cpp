#include "startwindow_pvt.h"

#include <algorithm>

namespace fescueledge::workflow {

namespace {

constexpr Milliseconds epochLength{100};
/// A median above this shrinks the window: well below the timeout of an order ...
constexpr Milliseconds highLatency{200};
/// ... and one below this lets it grow if it was full.
constexpr Milliseconds lowLatency{100};
constexpr std::uint64_t minSize = 16;
constexpr std::uint64_t maxSize = 2048;

} // namespace

void StartWindow::recordAnswer(Duration latency, TimePoint now)
{
    m_wasFull = m_wasFull || m_outstanding >= m_size;
    m_outstanding -= m_outstanding > 0 ? 1 : 0;
    m_latencies.push_back(latency);
    if (now >= m_epochBegan + epochLength) {
        closeEpoch(now);
    }
}

void StartWindow::closeEpoch(TimePoint now)
{
    // The median leaves out orders to workers that do not answer.
    const auto median = m_latencies.begin() + static_cast<std::ptrdiff_t>(m_latencies.size() / 2);
    std::nth_element(m_latencies.begin(), median, m_latencies.end());
    if (*median > highLatency) {
        m_size = std::max(minSize, m_size * 3 / 4);
    } else if (*median < lowLatency && m_wasFull) {
        m_size = std::min(maxSize, m_size * 5 / 4);
    }
    m_latencies.clear();
    m_wasFull = false;
    m_epochBegan = now;
}

} // namespace fescueledge::workflow
