#include "fescueledge/load/storehealth.h"

#include <algorithm>

namespace fescueledge::load {

namespace {

/// A call that has waited for this long is a sign of silence. The store usually answers in 4 ms.
constexpr std::chrono::milliseconds doubtTimeout{120};
/// Only calls that have waited for this long count as unanswered: a store that is 90 times slower than usual answers
/// within 360 ms.
constexpr std::chrono::milliseconds answerTimeout{400};
/// The store is silent if nothing is answered for this long ...
constexpr std::chrono::milliseconds silenceTimeout{700};
/// ... and so many calls in a row were not: if a third of the answers is lost, that happens to one call in 240.
constexpr int minUnanswered = 5;
/// If this many other nodes have found the store silent, ...
constexpr int minReports = 2;
/// ... so many unanswered calls are enough, and no longer time than theirs.
constexpr int minUnansweredWithReports = 2;
/// A report is valid for this long; nodes repeat theirs every 150 to 450 ms.
constexpr std::chrono::seconds reportLifetime{1};
/// More calls than that don't add to the evidence.
constexpr std::size_t maxCallsKept = 16;

} // namespace

void StoreHealth::recordSent(TimePoint now)
{
    if (m_unanswered.size() < maxCallsKept) {
        m_unanswered.push_back(now);
    }
}

void StoreHealth::recordAnswer(TimePoint /*now*/)
{
    m_unanswered.clear();
}

void StoreHealth::recordFailure(TimePoint sentAt, TimePoint now)
{
    if (now - sentAt >= answerTimeout) {
        return; // It stays among the unanswered ones.
    }
    const auto it = std::find(m_unanswered.begin(), m_unanswered.end(), sentAt);
    if (it != m_unanswered.end()) {
        m_unanswered.erase(it);
    }
}

void StoreHealth::recordReport(const std::string &reporter, int silentNodes, TimePoint now)
{
    if (silentNodes > 0) {
        m_reports[reporter] = Report{silentNodes, now};
    } else {
        m_reports.erase(reporter);
    }
}

int StoreHealth::othersSilent(TimePoint now, const std::string &except) const
{
    int sum = 0;
    for (const auto &[reporter, report] : m_reports) {
        sum += reporter != except && now <= report.at + reportLifetime ? report.silentNodes : 0;
    }
    return sum;
}

bool StoreHealth::isSilent(TimePoint now) const
{
    const auto overdue = std::count_if(m_unanswered.begin(), m_unanswered.end(), [now](TimePoint sentAt) {
        return now - sentAt >= answerTimeout;
    });
    if (othersSilent(now) >= minReports) {
        return overdue >= minUnansweredWithReports;
    }
    return overdue >= minUnanswered && unansweredFor(now) >= silenceTimeout;
}

bool StoreHealth::isInDoubt(TimePoint now) const
{
    return othersSilent(now) > 0 || unansweredFor(now) >= doubtTimeout;
}

Duration StoreHealth::unansweredFor(TimePoint now) const
{
    return m_unanswered.empty() ? Duration::zero() : now - m_unanswered.front();
}

} // namespace fescueledge::load
